// Scheduler of a cell: decides which pending tasks start and on which workers.

#ifndef PLACEMENT_SCHEDULER_H_
#define PLACEMENT_SCHEDULER_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "placement/cell.h"
#include "placement/decision.h"
#include "placement/job_statistics.h"
#include "placement/pending_queue.h"
#include "placement/preemption.h"
#include "placement/running_tasks.h"
#include "placement/task_demand.h"
#include "placement/timed_reservation.h"

namespace azurespur::placement {

struct SchedulerOptions {
  // Share of processors and memory that only services and urgent tasks may use.
  double service_reserve = 0.05;
  // Additional share that long batch tasks and gangs must leave free for
  // shorter tasks.
  double short_work_reserve = 0.05;
  // Batch tasks with a longer expected run time count as long.
  int64_t long_run_ms = 60'000;
  // A single-member task that has waited this long may get a TimedReservation.
  // Gangs may get one at once.
  int64_t reserve_after_ms = 60'000;
  // A reservation is recomputed after this time. Cached refusals are used for
  // no longer than this either.
  int64_t replan_interval_ms = 1'000;
  // After a failed attempt to compute a reservation for a task, the task is not
  // considered for another one for this long.
  int64_t unplannable_interval_ms = 30'000;
  // Minimum time between preemption proposals for the same task.
  int64_t preemption_interval_ms = 5'000;
  size_t max_preemptions_per_pass = 32;
  size_t max_tracked_jobs = 4096;
};

struct PassLimits {
  size_t max_starts = 256;
  // Bounds the duration of a pass in which most tasks do not fit.
  size_t max_attempts = 1024;
};

struct StartDecision {
  TaskDemand demand;
  Placement placement;
  // Resources to start each member with: at least the declared size, raised to
  // the usage of earlier runs.
  Resources size;
};

struct FailDecision {
  std::string id;
  std::string reason;
};

struct PassResult {
  std::vector<StartDecision> starts;
  std::vector<FailDecision> failures;
  std::vector<PreemptionPlan> preemptions;
};

// The cancelled ids, grouped by the state of their tasks.
struct CancelResult {
  std::vector<std::string> not_started;
  // Still running. The caller must stop these tasks.
  std::vector<std::string> running;
  std::vector<std::string> unknown;
};

// Not thread-safe.
class Scheduler {
 public:
  explicit Scheduler(const SchedulerOptions& options = {});

  // The caller adds, updates and removes workers through the cell.
  Cell& cell() { return m_cell; }
  const Cell& cell() const { return m_cell; }

  PendingQueue& queue() { return m_queue; }
  const PendingQueue& queue() const { return m_queue; }

  const RunningTasks& running() const { return m_running; }
  const JobStatistics& statistics() const { return m_statistics; }

  // Tells whether the cell knows all existing workers, owned or not. Until it
  // does, no task is failed for being too large for the known workers.
  void SetAllWorkersKnown(bool known);

  // Marks the evictions proposed for `task` as awaiting an operator's approval.
  void MarkAwaitingApproval(std::string_view task);

  // Makes the next pass plan the evictions that await approval again. Called
  // when new approvals have become known.
  void RetryAwaitingApproval();

  // Returns false if the task is already pending or running. A demand that
  // exceeds the larger of the limit and the quota of its plan in any resource
  // is failed by the next pass.
  bool Submit(TaskDemand demand);

  // Runs a scheduling pass: decides which tasks start and reserves their
  // resources. The caller must either perform each start or undo it by
  // EndTask() or Requeue().
  PassResult RunPass(int64_t now_ms, const PassLimits& limits);

  // Registers a task that is already running, such as one that a new owner
  // takes over. Does not change the cell, because the used resources of the
  // workers already include the task.
  void Adopt(RunningTask task);

  // Releases the resources of a task that has ended or was not started after
  // all. Returns false if the task is not running.
  bool EndTask(std::string_view id);

  // Records the statistics of a completed run. `peak` is the highest usage of a
  // single member.
  void ObserveRun(const JobKey& key, int64_t run_ms, const Resources& peak);

  // Ends the running task and submits it again as `demand`.
  void Requeue(TaskDemand demand);

  // Removes pending tasks from the queue and lists the running ones. Running
  // tasks keep their resources until EndTask().
  CancelResult Cancel(std::span<const std::string> ids);

  // The reservation that currently restricts other tasks, if any.
  const std::optional<TimedReservation>& reservation() const {
    return m_reservation;
  }

 private:
  // A single-member demand that did not fit in this pass. Demands that are at
  // least as large and end no earlier do not fit either.
  struct RefusedDemand {
    Resources size;
    int64_t ends_by_ms = 0;
  };

  // State of the attempt of RunPass() to place one demand.
  struct Attempt {
    TaskDemand demand;  // With the size to reserve.
    PlaceOptions options;
    bool is_long = false;
    double reserved_share = 0;
    bool has_reservation = false;
    // A refusal is due to lack of room, not to a reserve.
    bool lacks_room = false;
  };

  // A preemption proposal for a task that has not started yet. Also recorded if
  // no evictions were found, so that planning is not repeated too soon.
  struct Proposal {
    int64_t proposed_ms = 0;
    bool awaits_approval = false;
    std::vector<std::string> workers;
  };

  Attempt Prepare(const TaskDemand& demand, int64_t now_ms) const;
  Decision Decide(Attempt& attempt, const TaskDemand& declared) const;
  double ReservedShare(const Attempt& attempt) const;
  std::optional<std::string> InfeasibilityReason(
      const Attempt& attempt,
      const TaskDemand& declared,
      const Decision& decision) const;
  bool KeepsReserveFree(const Attempt& attempt) const;
  bool IsKnownNotToFit(const Attempt& attempt) const;
  void TryReservedTask(int64_t now_ms, PassResult& result);
  // Returns the cached refusal of `demand` if it is recent enough to be used.
  // Refusals of urgent tasks are never used.
  std::optional<CachedRefusal> FreshRefusal(const TaskDemand& demand,
                                            int64_t now_ms) const;
  bool IsStillRefused(const TaskDemand& demand, int64_t now_ms) const;
  bool IsReservationFresh(int64_t now_ms) const;
  bool MayReserve(const TaskDemand& demand, int64_t now_ms) const;
  void ClearReservation();
  void TryTask(const TaskDemand& demand,
               Attempt attempt,
               int64_t now_ms,
               PassResult& result);
  void Refuse(const TaskDemand& demand,
              const Attempt& attempt,
              int64_t now_ms,
              PassResult& result);
  void ProposePreemptions(const TaskDemand& demand,
                          int64_t now_ms,
                          PassResult& result);
  void ProposePreemption(const TaskDemand& demand,
                         int64_t now_ms,
                         PassResult& result);
  void ForgetProposal(std::string_view id);
  void MakeReservation(const Attempt& attempt, int64_t now_ms);
  void Start(const TaskDemand& demand,
             Attempt attempt,
             Placement placement,
             int64_t now_ms,
             PassResult& result);
  EvictionPolicy EvictionPolicyOf(std::string_view plan) const;

  SchedulerOptions m_options;
  Cell m_cell;
  PendingQueue m_queue;
  RunningTasks m_running;
  JobStatistics m_statistics;
  std::optional<TimedReservation> m_reservation;
  // Earliest time of the next attempt to compute a reservation. Rate-limited,
  // because the computation scans all running tasks.
  int64_t m_next_reservation_ms = 0;
  StringMap<int64_t> m_unplannable_until_ms;
  bool m_all_workers_known = false;
  std::vector<RefusedDemand> m_refused;
  // Failures found by Submit(), reported by the next pass.
  std::vector<FailDecision> m_submission_failures;
  StringMap<Proposal> m_proposals;
  // Workers with proposed evictions and the time of the latest proposal.
  StringMap<int64_t> m_preempting_ms;
};

}  // namespace azurespur::placement

#endif  // PLACEMENT_SCHEDULER_H_
