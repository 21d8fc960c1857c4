// The leader's view of the workers: leases, runs and the state of each run.
// Does no I/O and reads no clock.
//
// A run is over only when its worker reports it, when another boot answers at
// the worker's address, or when the worker's lease has certainly expired. Only
// then is the end recorded, and only then may the task be bound again.

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
#include "jobs/run.h"
#include "jobs/run_phase.h"
#include "jobs/scheduler_options.h"
#include "jobs/scheduler_output.h"
#include "jobs/stop_reason.h"
#include "jobs/worker.h"
#include "jobs/worker_entry.h"
#include "jobs/worker_report.h"
#include "jobs/worker_speeds.h"

namespace azurespur::jobs {

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

// A run that ended as done, and its time from start to end.
struct TimedRun {
  TaskRef task;
  std::string worker;  // Id.
  int64_t run_ms = 0;
};

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
