// The leader's view of the workers: leases, runs and the state of each run.
// Does no I/O and reads no clock.
//
// A run is over only when its worker reports it, when the worker has restarted,
// or when the worker's lease has certainly expired. Only then is the end
// recorded, and only then may the task be bound again.

#ifndef JOBS_FLEET_H_
#define JOBS_FLEET_H_

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "jobs/account_usage.h"
#include "jobs/orders.h"
#include "jobs/own_delay.h"
#include "jobs/released_runs.h"
#include "jobs/run_phase.h"
#include "jobs/scheduler_options.h"
#include "jobs/scheduler_output.h"
#include "jobs/stop_reason.h"
#include "jobs/worker_entry.h"
#include "jobs/worker_report.h"
#include "jobs/worker_speeds.h"

namespace azurespur::jobs {

struct Run {
  int32_t run = 0;
  RunPhase phase = RunPhase::kBinding;
  placement::Resources demand;
  AccountIndex account = kNoAccount;
  bool urgent = false;
  int32_t priority = 0;      // Priority of the queue; 0 is the most urgent.
  bool preemptible = false;  // Can be stopped without losing work.
  bool gang = false;         // Ends only together with the others of its step.
  bool stop_requested = false;
  // Of the request; of the first stop if none was requested.
  std::optional<StopReason> stop_reason;
  bool stop_counted = false;
  base::MonoTime start_sent_at{};
  uint64_t start_fence = 0;  // Of the newest send of the start.
  int32_t start_sends = 0;
  // The start carries a ticket, so no later boot of the worker accepts it.
  bool has_ticket = false;
  // The start is to be sent again, as its outcome is unknown, once a report
  // that is asked for after `unanswered_at` lacks the run.
  bool resend = false;
  base::MonoTime unanswered_at{};
  // It was running on a former boot, where it may have ended unheard; so it is
  // not sent to a later one.
  bool has_run = false;
  // Until then, a send of the start that got no answer may still be executed.
  base::MonoTime start_open_until{};
  base::MonoTime stop_sent_at{};
  base::MonoTime confirmed_at{};  // When the worker answered start or stop.
  // When the start was accepted, or a report first listed the run. Unset for a
  // run that a former leader started.
  base::MonoTime started_at{};
  bool resumed = false;  // Began from a checkpoint.
  // A lease that an earlier leader granted is over by then, at whichever boot.
  base::MonoTime former_lease_until{};
  // After this time an unanswered start can no longer take effect.
  base::MonoTime start_deadline = base::MonoTime::max();
  int32_t percent = -1;
  base::MonoTime progress_at{};
  std::string checkpoint;  // Latest one reported.
};

// A send of a start that got no answer, of a run that is over. It may still
// reach the worker, and a later boot of it would begin the run again if it has
// not yet seen a higher fencing token.
struct OpenSend {
  TaskRef task;
  int32_t run = 0;
  placement::Resources demand;
  AccountIndex account = kNoAccount;
  base::MonoTime until{};  // The latest time of its arrival.
  bool over = true;        // The current boot neither has nor begins the run.
};

// A send of a task's start that got no answer and that a boot which no call has
// reached may still carry out. Until it is over, the task runs nowhere else,
// and no end of it is acknowledged.
struct OpenStart {
  std::string worker;      // Id.
  base::MonoTime until{};  // The latest time of its arrival.
  base::MonoTime recorded_at{};
  // All sends of it went to the worker's confirmed address.
  bool at_one_address = true;
};

// An end that is stored but not acknowledged, as its task has an open start.
struct HeldEnd {
  int64_t number = 0;
  TaskRef task;
};

// A run that ended as done, and its time from start to end.
struct TimedRun {
  TaskRef task;
  std::string worker;  // Id.
  int64_t run_ms = 0;
};

// The worker's speed as placement uses it; that of a median worker while the
// speeds don't differ.
struct PlacementSpeed {
  // A task takes at most so many times as long as on a median worker, by one
  // standard deviation of the estimate.
  double slowness_bound = 1;
  // Tenths of the logarithm of the slowness: about 10% each.
  int32_t speed_class = 0;
};

struct Worker {
  // `entry.boot` is the boot that the worker itself reported last.
  WorkerEntry entry;
  // The directory's entry is that of another boot, so it doesn't tell the
  // capacity, labels and state of this one.
  bool undescribed = false;
  // The directory's entry of a boot that the worker has not reported yet.
  std::optional<WorkerEntry> announced;
  base::MonoTime announced_at{};
  // Earlier boots; an entry that names one of them is out of date.
  std::vector<int64_t> former_boots;
  // When the worker reported its newest boot, if it has restarted in this term.
  base::MonoTime restart_seen_at{};
  bool listed = true;
  // Fencing token of all calls. Rises with each boot, so that calls meant for
  // an earlier boot have no effect on one that has answered under it.
  uint64_t fence = 0;
  // Under `fence`, a call was sent that another boot would misread: a start, a
  // lease or an acknowledgement of ends.
  bool fence_used = false;
  // The current boot has answered under `fence`.
  bool confirmed = false;
  // Where the current boot answered last, this leader or an earlier one.
  std::string confirmed_address;
  // Earlier leaders bound the adopted runs to more than one boot.
  bool adopted_from_several_boots = false;
  // When the newest order was sent to the confirmed address that another boot
  // answered there; unset once the current one has answered again.
  base::MonoTime other_boot_at{};
  // When a start or a lease was last sent, or found unanswered.
  base::MonoTime last_grant_at{};
  // The newest report lists a run that the leader doesn't know.
  bool has_unknown_run = false;
  // The last hold order was answered, under `fence`.
  bool responsive = false;
  placement::Resources used;
  std::map<TaskRef, Run> runs;
  std::vector<OpenSend> open_sends;
  int32_t failures_in_row = 0;
  base::MonoTime avoid_until{};  // Gets no new tasks before this time.
  WorkerSpeed estimate;  // Kept up to date also while the speeds don't differ.
  PlacementSpeed speed;

  // Clock and lease.
  bool clock_known = false;
  int64_t clock_ms = 0;  // The worker's clock at `clock_at`.
  base::MonoTime clock_at{};
  int64_t max_lease_until_ms = 0;  // Latest lease end ever sent.
  // After this time nothing runs on the worker unless the lease is renewed.
  base::MonoTime lease_expires_at{};

  // Hold orders.
  int32_t holds_in_flight = 0;
  // Hold orders in a row that stayed unanswered while this VM was behind.
  int32_t late_holds = 0;
  // Ends before the next report are known late.
  base::MonoTime last_hold_failed_at{};
  base::MonoTime next_hold{};
  // When the most recent answered hold order was sent.
  base::MonoTime newest_hold_sent_at{};
  bool more_ends = false;   // The newest report didn't list all ends.
  int64_t ends_read = 0;    // Highest end number passed to the output.
  int64_t ends_stored = 0;  // Highest end number whose record is stored.
  // Highest end number whose acknowledgement the boot has answered.
  int64_t ends_forgotten = 0;
  std::vector<HeldEnd> held_ends;  // By number.
};

// Returns true if the worker can take new tasks now.
bool AcceptsTasks(const Worker& worker, base::MonoTime now);

placement::Resources FreeCapacity(const Worker& worker);

class Fleet {
 public:
  explicit Fleet(const SchedulerOptions& options)
      : m_options(options), m_newest_fence(options.fence) {}

  // Applies the directory's current entries; `now` is when it was read.
  void SetEntries(std::span<const WorkerEntry> entries, base::MonoTime now);

  // Adds a run that an earlier leader may have started on `worker`.
  void Adopt(const TaskRef& task,
             int32_t run,
             const WorkerBoot& worker,
             const placement::Resources& demand,
             bool gang,
             base::MonoTime now,
             AccountIndex account = kNoAccount,
             bool has_ticket = false);

  // A send of the task's start to the worker got no answer from its sender, an
  // earlier leader. To be called after Adopt().
  void AdoptOpenStart(const TaskRef& task,
                      std::string_view worker_id,
                      base::MonoTime now);

  // Earlier leaders had answers of the boot from the address. To be called once
  // all runs are adopted. Ignored unless all of the worker's are on that boot.
  void SetAdoptedAddress(const WorkerBoot& boot, std::string_view address);

  // Reserves capacity for a run whose binding is being stored.
  void Bind(const TaskRef& task,
            const Run& run,
            std::string_view worker_id,
            base::MonoTime now);

  // To be called once the binding is stored. Returns the worker if the start
  // may be sent, null otherwise.
  const Worker* BeginStart(const TaskRef& task,
                           int32_t run,
                           bool has_ticket,
                           base::MonoTime now);

  // Releases a run whose binding was stored but whose start was not sent.
  void ReleaseUnsent(const TaskRef& task,
                     base::MonoTime now,
                     SchedulerOutput& out);

  // Extends the worker's lease and returns its new end, on the worker's clock.
  int64_t ExtendLease(const Worker& worker, base::MonoTime now);

  // Something due at `due` is handled only now.
  void ObserveDelay(base::MonoTime due, base::MonoTime now) {
    m_own_delay.Observe(due, now);
  }
  // How long to wait for the answer to a hold order or a stop that is sent now.
  base::Millis OrderTimeout(base::MonoTime now) const;
  // The same for a start. Shorter, so that all its sends arrive, or fail,
  // before the other members of its gang give up.
  base::Millis StartTimeout(base::MonoTime now) const;

  // The start was sent again, as the answer to the last send is missing.
  void OnStartRepeated(const TaskRef& task,
                       base::MonoTime now,
                       SchedulerOutput& out);

  // The runs whose start is to be sent again and whose worker answers.
  std::vector<TaskRef> DueResends() const;
  // The start of one of these is sent again.
  const Worker& BeginResend(const TaskRef& task, base::MonoTime now);
  // It is not; stops follow.
  void DropResend(const TaskRef& task);

  // Marks the task's run to be stopped. The reason of the first request counts.
  void RequestStop(const TaskRef& task, StopReason reason);

  // The outcome of the newest send. Once a start was repeated, a refusal says
  // nothing about the earlier sends.
  void OnStarted(const StartOrder& order,
                 const StartAnswer& answer,
                 base::MonoTime now,
                 SchedulerOutput& out);
  void OnStopped(const StopOrder& order,
                 OrderOutcome outcome,
                 base::MonoTime now,
                 SchedulerOutput& out);
  void OnReport(const HoldOrder& order,
                const WorkerReport& report,
                base::MonoTime now,
                SchedulerOutput& out);
  void OnHoldFailed(const HoldOrder& order,
                    OrderOutcome outcome,
                    base::MonoTime now,
                    SchedulerOutput& out);

  // A former leader heard from `worker_id` that the run has ended. Ignored
  // unless the run is still taken to be on that worker.
  void OnForwardedEnd(const EndRecord& end,
                      std::string_view worker_id,
                      base::MonoTime now,
                      SchedulerOutput& out);

  // The record of an end that a worker reported is stored.
  void OnEndStored(const PendingRecord& stored);

  // Sends the hold orders and stops that are due, and releases the runs of
  // workers whose lease has certainly expired.
  void Tick(base::MonoTime now, bool may_renew, SchedulerOutput& out);

  const std::map<std::string, Worker, std::less<>>& workers() const {
    return m_workers;
  }
  // Returns true if the start was sent but not answered and is to be sent again
  // at once: no stop was requested, and the worker has neither left, nor begun
  // to drain, nor a higher fencing token, nor can it be asked first.
  bool MayRepeatStart(const StartOrder& order) const;
  // Returns true if a start of the task that got no answer may still be carried
  // out, or may have begun a run that no report has told of.
  bool HasOpenStart(const TaskRef& task) const {
    return m_open_starts.count(task) > 0;
  }
  int64_t CountOpenStarts() const {
    return static_cast<int64_t>(m_open_starts.size());
  }
  int64_t CountWorkersWithHeldEnds() const;
  // Of the task's run, which must exist.
  const std::string& WorkerIdOf(const TaskRef& task) const {
    return m_index.at(task);
  }
  // Null if the task has no run.
  const Run* FindRun(const TaskRef& task) const;
  AccountIndex IndexOfAccount(std::string_view account) {
    return m_usage.IndexOf(account);
  }
  // Counts each run from its binding until it is certainly over, and each open
  // send that the worker's current boot may carry out or has carried out.
  const AccountUsage& usage() const { return m_usage; }
  // Bindings that are being stored and starts without an answer.
  int64_t CountOutstanding() const;
  // Returns the runs that were timed since the last call.
  std::vector<TimedRun> TakeTimedRuns() {
    return std::exchange(m_timed_runs, {});
  }
  // Unless the speeds differ, all workers count as equally fast.
  void SetSpeeds(const WorkerSpeeds& speeds, base::MonoTime now);
  // Of this term.
  const StopCounts& stop_counts() const { return m_stop_counts; }
  const ReleasedRuns& released_runs() const { return m_released_runs; }
  // How often another boot began to answer at the address of a known one.
  int64_t replaced_boots() const { return m_replaced_boots; }

 private:
  Worker* FindWorker(std::string_view id);
  // Adds the worker if it is new.
  Worker& GetWorker(const std::string& id);
  // From now on calls carry a higher fencing token, if need be, and nothing is
  // granted before one of them was answered.
  void RaiseFence(Worker& worker, base::MonoTime now);
  // The last one of the term stays, and ends it.
  uint64_t FenceAfter(uint64_t fence);
  // Finds out by the clock of an answered start whether another boot than the
  // known one has answered it.
  void ObserveClock(Worker& worker,
                    const StartOrder& order,
                    const StartAnswer& answer,
                    base::MonoTime now);
  // The worker's boot has answered under its fencing token.
  void ConfirmBoot(Worker& worker, base::MonoTime now);
  // What the answer to any order tells of its target: that a later leader has
  // fenced it, or that another boot has answered.
  void ObserveOutcome(Worker& worker,
                      const OrderTarget& target,
                      OrderOutcome outcome,
                      base::MonoTime now,
                      SchedulerOutput& out);
  // After this time the run is certainly over if its worker stays silent.
  base::MonoTime LapsedAfter(const Worker& worker,
                             const TaskRef& task,
                             const Run& run) const;
  // After this time nothing runs on a boot that the leader has not reached.
  base::MonoTime UnseenBootLapsedAfter(const Worker& worker) const;
  Worker* WorkerOf(const TaskRef& task);
  Run* FindRun(Worker& worker, const TaskRef& task, int32_t run);
  // Releases the runs of a silent worker that are certainly over.
  void ReleaseLapsed(Worker& worker, base::MonoTime now, SchedulerOutput& out);
  void SendHoldIfDue(Worker& worker,
                     base::MonoTime now,
                     bool may_renew,
                     SchedulerOutput& out);
  void SendStops(Worker& worker, base::MonoTime now, SchedulerOutput& out);
  // How long to wait before a worker that did not answer is asked again.
  base::Millis SilentRetryInterval(const Worker& worker,
                                   base::MonoTime now) const;
  // A send of the run's start may be carried out late.
  void MarkOpenStart(const Worker& worker,
                     const TaskRef& task,
                     Run& run,
                     base::MonoTime now,
                     SchedulerOutput& out);
  // A report that is asked for now tells whether a start is sent again.
  static bool AwaitsReport(const Worker& worker);
  // The worker has answered an order at the address.
  void ConfirmAddress(Worker& worker, const std::string& address);
  // Another boot than the one that the order named has answered it. Releases
  // what can't run there any more.
  void OnOtherBoot(Worker& worker,
                   const OrderTarget& target,
                   base::MonoTime now,
                   SchedulerOutput& out);
  // True if the run is over, as another boot answered an order that was sent to
  // its worker's address at `asked_at`.
  bool IsOverAtOtherBoot(const TaskRef& task,
                         const Run& run,
                         base::MonoTime asked_at) const;
  // The run's only send has been carried out.
  void CloseStart(const TaskRef& task, Run& run);
  // Removes the open starts that are over, and the ends held for them.
  void ForgetOpenStarts(base::MonoTime now);
  bool IsOver(const OpenStart& start, base::MonoTime now) const;
  // Highest end number that may be acknowledged.
  static int64_t AckableEnd(const Worker& worker);
  // Between hold orders to a worker with held ends.
  base::Millis HeldEndInterval() const;
  // Removes the open sends that can't arrive any more.
  void ForgetOpenSends(Worker& worker, base::MonoTime now);
  // The worker's current boot has told what it runs, under its fencing token.
  void UpdateOpenSends(Worker& worker, const WorkerReport& report);
  // An open send of the run has begun it on the current boot.
  static bool IsOpenSend(const Worker& worker, const RunningTask& running);
  // Not while this VM is behind: the answer may have been in time.
  void RecordUnanswered(std::string_view worker_id, base::MonoTime now);
  // Returns true if several workers recently left orders unanswered.
  bool IsDegraded(base::MonoTime now) const;
  // How long a hold order at a worker with running tasks waits for an end.
  base::Millis BusyHoldWait(base::MonoTime now) const;
  void StopStalled(Worker& worker, base::MonoTime now);
  // True if the run made no progress for its limit, as of the worker's newest
  // report.
  bool IsStalled(const Worker& worker, const TaskRef& task, const Run& run);
  std::vector<Run*> RunsOf(const StepRef& step);
  // When a run of the step last made progress.
  base::MonoTime LastProgressOf(const StepRef& step);
  // The end of a member is progress of its gang.
  void RecordGangProgress(const StepRef& step, base::MonoTime now);
  // Moves the run to the phase that follows from the event, and releases it if
  // that is kOver.
  void Advance(Worker& worker,
               const TaskRef& task,
               RunEvent event,
               base::MonoTime now,
               SchedulerOutput& out);
  void AdvanceAll(Worker& worker,
                  std::span<const TaskRef> tasks,
                  RunEvent event,
                  base::MonoTime now,
                  SchedulerOutput& out);
  // Frees the run's capacity and records its end, for a run that is certainly
  // over and that the worker reported no end of.
  void Release(Worker& worker,
               const TaskRef& task,
               RunEvent event,
               base::MonoTime now,
               SchedulerOutput& out);
  void HandleEnd(Worker& worker,
                 const EndedTask& end,
                 base::MonoTime now,
                 SchedulerOutput& out);
  void HandleRunning(Worker& worker,
                     const WorkerReport& report,
                     const HoldOrder& order,
                     base::MonoTime now,
                     SchedulerOutput& out);
  // Times a run that was reported as done, unless its start, its end or what it
  // had left to do is known too inexactly.
  void RecordRunTime(const Worker& worker,
                     const TaskRef& task,
                     const Run& run,
                     base::MonoTime now);
  void UpdateFailureCount(Worker& worker, EndCause cause, base::MonoTime now);
  void RemoveRun(Worker& worker, const TaskRef& task);
  // Stops a run that the leader doesn't know.
  void StopUnknownRun(Worker& worker,
                      const RunningTask& running,
                      base::MonoTime now,
                      SchedulerOutput& out);
  // Applies the directory's entry of a worker that is known already.
  void UpdateEntry(Worker& worker,
                   const WorkerEntry& entry,
                   base::MonoTime now);
  // Compares the boot that a report names with the known one.
  void ObserveBoot(Worker& worker,
                   int64_t boot_unix_ms,
                   base::MonoTime asked_at,
                   base::MonoTime now,
                   SchedulerOutput& out);
  // The worker reported a new boot. Ends no run: the report does.
  void HandleRestart(Worker& worker,
                     int64_t boot_unix_ms,
                     base::MonoTime now,
                     SchedulerOutput& out);
  // What the restart means for a run that the former boot may have had.
  void ObserveRestart(Worker& worker,
                      const TaskRef& task,
                      Run& run,
                      base::MonoTime now,
                      SchedulerOutput& out);
  // Counts the open send as usage unless it is over on the worker's boot.
  void SetOver(OpenSend& send, bool over);

  const SchedulerOptions m_options;
  uint64_t m_newest_fence;  // Of new workers.
  bool m_fences_used_up = false;
  OwnDelay m_own_delay;
  StopCounts m_stop_counts;
  ReleasedRuns m_released_runs;
  int64_t m_replaced_boots = 0;
  std::vector<TimedRun> m_timed_runs;
  std::map<std::string, Worker, std::less<>> m_workers;  // By id.
  std::map<TaskRef, std::string> m_index;  // Worker id of each run.
  std::map<TaskRef, OpenStart> m_open_starts;
  AccountUsage m_usage;
  // When each worker last left an order unanswered; entries expire.
  std::map<std::string, base::MonoTime, std::less<>> m_last_unanswered;
};

}  // namespace azurespur::jobs

#endif  // JOBS_FLEET_H_
