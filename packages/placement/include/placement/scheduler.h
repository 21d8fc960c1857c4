// Decides what starts where: waiting work, the cell and running work together.

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
  // Share of processors and memory that only services and urgent work take.
  double service_reserve = 0.05;
  // Share that long batch work and gangs leave to shorter work besides.
  double short_work_reserve = 0.05;
  // Batch work that is expected to run longer is long.
  int64_t long_run_ms = 60'000;
  // A single task that waited this long for room gets a reservation in time as
  // gangs do.
  int64_t reserve_after_ms = 60'000;
  // A reservation is worked out anew this often.
  int64_t replan_interval_ms = 1'000;
  // A task for which no time could be worked out is passed over this long.
  int64_t unplannable_interval_ms = 30'000;
  // A preemption is not proposed again for the same task before this.
  int64_t preemption_interval_ms = 5'000;
  size_t max_preemptions_per_pass = 32;
  size_t max_tracked_jobs = 4096;
};

struct PassLimits {
  size_t max_starts = 256;
  // Bounds the time of a pass in which little fits.
  size_t max_attempts = 1024;
};

struct StartDecision {
  TaskDemand demand;
  Placement placement;
  // What to start each member with: at least the declared size, raised to what
  // earlier runs used.
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

// A wave of cancellations, sorted out.
struct CancelResult {
  std::vector<std::string> not_started;
  // Still running: to be stopped by the caller.
  std::vector<std::string> running;
  std::vector<std::string> unknown;
};

// Not thread-safe.
class Scheduler {
 public:
  explicit Scheduler(const SchedulerOptions& options = {});

  // Workers are kept up to date through the cell.
  Cell& cell() { return m_cell; }
  const Cell& cell() const { return m_cell; }

  PendingQueue& queue() { return m_queue; }
  const PendingQueue& queue() const { return m_queue; }

  const RunningTasks& running() const { return m_running; }
  const JobStatistics& statistics() const { return m_statistics; }

  // Whether the cell holds every worker that there is, owned or not. Until then
  // no task is failed for want of a worker that is large enough.
  void SetAllWorkersKnown(bool known);

  // The evictions proposed for `task` wait for an approval.
  void MarkAwaitingApproval(std::string_view task);

  // Evictions that wait for an approval are planned again by the next pass;
  // for callers that learned of new approvals.
  void RetryAwaitingApproval();

  // Returns false if the id waits or runs already. A demand above both the
  // limit and the quota of its plan is failed by the next pass.
  bool Submit(TaskDemand demand);

  // Decides starts and reserves them. The caller must carry each start out, or
  // take it back by EndTask() or Requeue().
  PassResult RunPass(int64_t now_ms, const PassLimits& limits);

  // Registers a task that runs already, such as one found by a new owner.
  // Does not change the cell: its workers' used resources include the task.
  void Adopt(RunningTask task);

  // The task has ended, or was not started after all. Frees what it holds.
  // Returns false if it does not run.
  bool EndTask(std::string_view id);

  // Learns from a whole run. `peak` is the largest usage of one member.
  void ObserveRun(const JobKey& key, int64_t run_ms, const Resources& peak);

  // Ends the running task and lets `demand`, the same task, wait again.
  void Requeue(TaskDemand demand);

  // Takes waiting tasks out at once and names the running ones. Changes nothing
  // for running ones until EndTask().
  CancelResult Cancel(std::span<const std::string> ids);

  // The reservation that now limits other work, if any.
  const std::optional<TimedReservation>& reservation() const {
    return m_reservation;
  }

 private:
  // A demand refused in this pass. Demands at least as large fit no better.
  struct RefusedDemand {
    Resources size;
    int64_t ends_by_ms = 0;
  };

  // What RunPass() works with for one demand.
  struct Attempt {
    TaskDemand demand;  // With the size to reserve.
    PlaceOptions options;
    bool is_long = false;
    double reserved_share = 0;
    bool has_reservation = false;
    // Refused for want of room, not for a reserve.
    bool lacks_room = false;
  };

  // An eviction that was proposed and has not led to a start yet.
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
  // The refusal of `demand` if it is recent enough to rely on.
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
  // Working out a time looks at all running work, so it is done seldom.
  int64_t m_next_reservation_ms = 0;
  StringMap<int64_t> m_unplannable_until_ms;
  bool m_all_workers_known = false;
  std::vector<RefusedDemand> m_refused;
  std::vector<FailDecision> m_submission_failures;
  StringMap<Proposal> m_proposals;
  // Workers of proposals, with the time of the latest.
  StringMap<int64_t> m_preempting_ms;
};

}  // namespace azurespur::placement

#endif  // PLACEMENT_SCHEDULER_H_
