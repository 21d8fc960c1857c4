// Workers as the leader sees them: leases, what runs where, which runs are
// settled. No I/O, no clock.
//
// A run is over only when its worker says so, when the worker's life is over,
// or when its lease has surely expired. Only then its end is recorded and the
// task may be bound again.

#ifndef JOBS_FLEET_H_
#define JOBS_FLEET_H_

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>

#include "base/clock.h"
#include "jobs/orders.h"
#include "jobs/scheduler_options.h"
#include "jobs/scheduler_output.h"
#include "jobs/worker_entry.h"
#include "jobs/worker_report.h"

namespace azurespur::jobs {

enum class RunPhase {
  kBinding,        // The binding is not stored; nothing was sent.
  kStarting,       // The start was sent.
  kAdopted,        // Bound by an earlier leader; not yet seen on the worker.
  kRunning,        // The worker said so.
  kStartUnknown,   // The start was not answered; a stop is on its way.
  kStopConfirmed,  // The stop was answered; a later look tells.
};

struct Run {
  int32_t run = 0;
  RunPhase phase = RunPhase::kBinding;
  placement::Resources demand;
  bool urgent = false;
  int32_t priority = 0;      // Of its queue; 0 is the most urgent.
  bool preemptible = false;  // A stop loses none of its work.
  bool stop_requested = false;
  base::MonoTime stop_sent_at{};
  base::MonoTime confirmed_at{};  // When the worker answered start or stop.
  // From here on the unanswered start can't begin any more.
  base::MonoTime start_deadline = base::MonoTime::max();
  int32_t percent = -1;
  base::MonoTime progress_at{};
  std::string checkpoint;  // Last one seen.
};

struct Worker {
  WorkerEntry entry;
  bool listed = true;
  bool responsive = false;  // The last look was answered, under this fence.
  placement::Resources used;
  std::map<TaskRef, Run> runs;
  int32_t failures_in_row = 0;
  base::MonoTime avoid_until{};

  // Clock and lease.
  bool clock_known = false;
  int64_t clock_ms = 0;  // The worker's clock at `clock_at`.
  base::MonoTime clock_at{};
  int64_t max_lease_until_ms = 0;  // Latest lease that was ever sent.
  base::MonoTime
      lease_expires_at{};  // From here on nothing runs unless renewed.

  // Looks.
  int32_t holds_in_flight = 0;
  base::MonoTime next_hold{};
  base::MonoTime
      newest_hold_sent_at{};  // When the newest answered look was sent.
  int64_t ends_read = 0;      // Highest number that was handed on.
  int64_t ends_stored = 0;    // Highest number whose end is stored.
};

// A worker that can take new tasks now.
bool AcceptsTasks(const Worker& worker, base::MonoTime now);

placement::Resources FreeCapacity(const Worker& worker);

class Fleet {
 public:
  explicit Fleet(const SchedulerOptions& options) : m_options(options) {}

  // Takes the directory's current entries; `now` is when it was read.
  void SetEntries(std::span<const WorkerEntry> entries,
                  base::MonoTime now,
                  SchedulerOutput& out);

  // A run that an earlier leader may have started on `worker`.
  void Adopt(const TaskRef& task,
             int32_t run,
             const WorkerBoot& worker,
             const placement::Resources& demand,
             base::MonoTime now);

  // Takes room for a run whose binding is being stored.
  void Bind(const TaskRef& task,
            const Run& run,
            std::string_view worker_id,
            base::MonoTime now);

  // The binding is stored: returns the worker if the start may be sent.
  const Worker* BeginStart(const TaskRef& task, int32_t run);

  // Gives up a binding that was stored and never sent.
  void ReleaseUnsent(const TaskRef& task, SchedulerOutput& out);

  // The lease that a start to `worker` carries.
  int64_t ExtendLease(const Worker& worker, base::MonoTime now);

  // The task's run is to be stopped.
  void RequestStop(const TaskRef& task);

  // `tries` counts how often this run's start was sent: once it was repeated, a
  // refusal says nothing about the earlier ones.
  void OnStarted(const TaskRef& task,
                 int32_t run,
                 int32_t send_count,
                 OrderOutcome outcome,
                 base::MonoTime now,
                 SchedulerOutput& out);
  void OnStopped(const TaskRef& task,
                 int32_t run,
                 OrderOutcome outcome,
                 base::MonoTime now,
                 SchedulerOutput& out);
  // `asked_at` is when the look was sent.
  void OnReport(const WorkerBoot& boot,
                const WorkerReport& report,
                base::MonoTime asked_at,
                base::MonoTime now,
                SchedulerOutput& out);
  void OnHoldFailed(const WorkerBoot& boot,
                    OrderOutcome outcome,
                    base::MonoTime now,
                    SchedulerOutput& out);

  // An end that `worker` listed is stored.
  void OnEndStored(const PendingRecord& stored);

  // Sends looks and stops that are due; ends what has surely expired.
  void Tick(base::MonoTime now, bool may_renew, SchedulerOutput& out);

  const std::map<std::string, Worker, std::less<>>& workers() const {
    return m_workers;
  }
  // The run's start was sent and not answered, and it is still wanted.
  bool IsStartPending(const TaskRef& task, int32_t run) const;
  // Null if the task has no run.
  const Run* FindRun(const TaskRef& task) const;

 private:
  Worker* FindWorker(std::string_view id);
  Worker* WorkerOf(const TaskRef& task);
  Run* FindRun(Worker& worker, const TaskRef& task, int32_t run);
  void SendHoldIfDue(Worker& worker,
                     base::MonoTime now,
                     bool may_renew,
                     SchedulerOutput& out);
  void SendStops(Worker& worker, base::MonoTime now, SchedulerOutput& out);
  void RecordUnanswered(std::string_view worker_id, base::MonoTime now);
  // Several workers have left orders unanswered lately.
  bool IsDegraded(base::MonoTime now) const;
  // How long a look at a worker with work waits for an end.
  base::Millis BusyHoldWait(base::MonoTime now) const;
  void StopStalled(Worker& worker, base::MonoTime now);
  // Frees the room and records the end of a run that never comes back.
  void Release(Worker& worker, const TaskRef& task, SchedulerOutput& out);
  void ReleaseAll(Worker& worker, SchedulerOutput& out);
  void HandleEnd(Worker& worker,
                 const EndedTask& end,
                 base::MonoTime now,
                 SchedulerOutput& out);
  void HandleRunning(Worker& worker,
                     const WorkerReport& report,
                     base::MonoTime asked_at,
                     base::MonoTime now,
                     SchedulerOutput& out);
  void UpdateFailureCount(Worker& worker, EndCause cause, base::MonoTime now);
  void RemoveRun(Worker& worker, const TaskRef& task);
  // The worker was started again: nothing of before runs.
  void HandleRestart(Worker& worker,
                     const WorkerEntry& entry,
                     SchedulerOutput& out);

  const SchedulerOptions m_options;
  std::map<std::string, Worker, std::less<>> m_workers;  // By id.
  std::map<TaskRef, std::string> m_index;  // Worker id of each run.
  // When each worker last left an order unanswered.
  std::map<std::string, base::MonoTime, std::less<>> m_last_unanswered;
};

}  // namespace azurespur::jobs

#endif  // JOBS_FLEET_H_
