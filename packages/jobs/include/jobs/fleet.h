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
  kBinding,   // The binding is not stored; nothing was sent.
  kStarting,  // The start was sent.
  kAdopted,   // Bound by an earlier leader; not yet seen on the worker.
  kRunning,   // The worker said so.
  kSettling,  // The start was not answered; a stop is on its way.
  kSettled,   // The stop was answered; a later look tells.
};

struct Run {
  int32_t run = 0;
  RunPhase phase = RunPhase::kBinding;
  placement::Resources demand;
  bool urgent = false;
  int32_t priority = 0;      // Of its queue; 0 is the most urgent.
  bool preemptible = false;  // A stop loses none of its work.
  bool stop_wanted = false;
  base::MonoTime stop_sent_at{};
  base::MonoTime known_at{};  // When the worker answered start or stop.
  // From here on the unanswered start can't begin any more.
  base::MonoTime start_over = base::MonoTime::max();
  int32_t percent = -1;
  base::MonoTime progress_at{};
  std::string checkpoint;  // Last one seen.
};

struct Worker {
  WorkerEntry entry;
  bool listed = true;
  bool fresh = false;  // The last look was answered, under this fence.
  placement::Resources used;
  std::map<TaskRef, Run> runs;
  int32_t failures_in_row = 0;
  base::MonoTime avoid_until{};

  // Clock and lease.
  bool clock_known = false;
  int64_t clock_ms = 0;  // The worker's clock at `clock_at`.
  base::MonoTime clock_at{};
  int64_t max_until_ms = 0;     // Latest lease that was ever sent.
  base::MonoTime lease_over{};  // From here on nothing runs unless renewed.

  // Looks.
  int32_t holds_in_flight = 0;
  base::MonoTime next_hold{};
  base::MonoTime newest_look{};  // When the newest answered look was sent.
  int64_t ends_read = 0;         // Highest number that was handed on.
  int64_t ends_stored = 0;       // Highest number whose end is stored.
};

// A worker that can take new tasks now.
bool TakesTasks(const Worker& worker, base::MonoTime now);

placement::Resources FreeRoom(const Worker& worker);

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
  void Abandon(const TaskRef& task, SchedulerOutput& out);

  // The lease that a start to `worker` carries.
  int64_t LeaseUntil(const Worker& worker, base::MonoTime now);

  // The task's run is to be stopped.
  void WantStop(const TaskRef& task);

  // `tries` counts how often this run's start was sent: once it was repeated, a
  // refusal says nothing about the earlier ones.
  void OnStarted(const TaskRef& task,
                 int32_t run,
                 int32_t tries,
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
  bool AwaitsStart(const TaskRef& task, int32_t run) const;
  // Null if the task has no run.
  const Run* FindRun(const TaskRef& task) const;

 private:
  Worker* FindWorker(std::string_view id);
  Worker* WorkerOf(const TaskRef& task);
  Run* FindRun(Worker& worker, const TaskRef& task, int32_t run);
  void Look(Worker& worker,
            base::MonoTime now,
            bool may_renew,
            SchedulerOutput& out);
  void SendStops(Worker& worker, base::MonoTime now, SchedulerOutput& out);
  void NoteUnanswered(std::string_view worker_id, base::MonoTime now);
  // Several workers have left orders unanswered lately.
  bool Doubtful(base::MonoTime now) const;
  // How long a look at a worker with work waits for an end.
  base::Millis BusyHoldWait(base::MonoTime now) const;
  void StopStalled(Worker& worker, base::MonoTime now);
  // Frees the room and records the end of a run that never comes back.
  void Release(Worker& worker, const TaskRef& task, SchedulerOutput& out);
  void ReleaseAll(Worker& worker, SchedulerOutput& out);
  void TakeEnd(Worker& worker,
               const EndedTask& end,
               base::MonoTime now,
               SchedulerOutput& out);
  void TakeRunning(Worker& worker,
                   const WorkerReport& report,
                   base::MonoTime asked_at,
                   base::MonoTime now,
                   SchedulerOutput& out);
  void CountEnd(Worker& worker, EndCause cause, base::MonoTime now);
  void Forget(Worker& worker, const TaskRef& task);
  // The worker was started again: nothing of before runs.
  void Restart(Worker& worker, const WorkerEntry& entry, SchedulerOutput& out);

  const SchedulerOptions m_options;
  std::map<std::string, Worker, std::less<>> m_workers;  // By id.
  std::map<TaskRef, std::string> m_index;  // Worker id of each run.
  // When each worker last left an order unanswered.
  std::map<std::string, base::MonoTime, std::less<>> m_unanswered;
};

}  // namespace azurespur::jobs

#endif  // JOBS_FLEET_H_
