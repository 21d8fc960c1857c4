#include "placement/scheduler.h"

#include <algorithm>
#include <utility>

namespace azurespur::placement {
namespace {

bool IsLong(const TaskDemand& demand, int64_t run_ms, int64_t long_run_ms) {
  return demand.task_class == TaskClass::kGang || run_ms > long_run_ms;
}

bool KeepsShareFree(const Resources& total,
                    const Resources& room,
                    const Resources& capacity,
                    double share) {
  const Resources left = Subtract(room, total);
  const auto keeps = [share](int64_t amount, int64_t of) {
    return static_cast<double>(amount) >= share * static_cast<double>(of);
  };
  return keeps(left.cpu_millis, capacity.cpu_millis) &&
         keeps(left.memory_mb, capacity.memory_mb);
}

JobKey JobKeyOf(const TaskDemand& demand) {
  return {demand.plan, demand.job};
}

RunningTask MakeRunningTask(const TaskDemand& demand,
                            const Placement& placement,
                            int64_t run_bound_ms,
                            int64_t now_ms) {
  RunningTask task;
  task.id = demand.id;
  task.plan = demand.plan;
  task.job = demand.job;
  task.task_class = demand.task_class;
  task.urgent = demand.urgent;
  task.checkpointable = demand.checkpointable;
  task.rack_limit = demand.rack_limit;
  task.size = demand.size;
  task.workers = placement.workers;
  task.started_ms = now_ms;
  task.run_bound_ms = run_bound_ms;
  return task;
}

}  // namespace

Scheduler::Scheduler(const SchedulerOptions& options)
    : m_options(options), m_statistics(options.max_tracked_jobs) {}

void Scheduler::SetAllWorkersKnown(bool known) {
  if (known && !m_all_workers_known) {
    // Pending tasks may now turn out to be infeasible, so cached refusals must
    // not be used.
    m_cell.InvalidateCapacityGains();
  }
  m_all_workers_known = known;
}

bool Scheduler::Submit(TaskDemand demand) {
  if (m_running.Find(demand.id) != nullptr ||
      m_queue.Find(demand.id) != nullptr) {
    return false;
  }
  // The limit may be lowered temporarily. A demand within the quota must not
  // fail because of that.
  const PlanAllowance& allowance = m_queue.AllowanceOf(demand.plan);
  const Resources limit = Max(allowance.limit, allowance.quota);
  if (!Fits(TotalSize(demand), limit)) {
    m_submission_failures.push_back(
        {demand.id, "task \"" + demand.id + "\" needs " +
                        ToString(TotalSize(demand)) + ", the limit of plan \"" +
                        demand.plan + "\" is " + ToString(limit)});
    return true;
  }
  const int64_t run_ms = ExpectedRunTime(m_statistics.Find(JobKeyOf(demand)),
                                         demand.expected_run_ms);
  return m_queue.Enqueue(std::move(demand), run_ms);
}

PassResult Scheduler::RunPass(int64_t now_ms, const PassLimits& limits) {
  PassResult result;
  result.failures = std::exchange(m_submission_failures, {});
  m_refused.clear();
  m_queue.BeginPass(now_ms, m_cell.TotalCapacity());
  TryReservedTask(now_ms, result);
  for (size_t attempts = 0; attempts < limits.max_attempts &&
                            result.starts.size() < limits.max_starts;
       ++attempts) {
    const TaskDemand* demand = m_queue.Next();
    if (demand == nullptr) {
      break;
    }
    if (IsStillRefused(*demand, now_ms)) {
      m_queue.Block(*demand);
      continue;
    }
    TryTask(*demand, Prepare(*demand, now_ms), now_ms, result);
  }
  return result;
}

// In a full cell most pending tasks were refused before, and no room that they
// could use has become free since. This check avoids placing them again.
bool Scheduler::IsStillRefused(const TaskDemand& demand, int64_t now_ms) const {
  const std::optional<CachedRefusal> refusal = FreshRefusal(demand, now_ms);
  return refusal && !refusal->blocked_by_reserve &&
         !m_cell.MayFitSince(refusal->capacity_gain_count, demand.size);
}

std::optional<CachedRefusal> Scheduler::FreshRefusal(const TaskDemand& demand,
                                                     int64_t now_ms) const {
  const std::optional<CachedRefusal> refusal = m_queue.FindRefusal(demand);
  if (!refusal || m_queue.IsUrgent(demand) ||
      now_ms - refusal->time_ms >= m_options.replan_interval_ms) {
    return std::nullopt;
  }
  return refusal;
}

// The task with the reservation is tried first and is not restricted by holds.
// Its reservation is recomputed periodically, because running tasks may end
// earlier or later than expected.
void Scheduler::TryReservedTask(int64_t now_ms, PassResult& result) {
  if (!m_reservation) {
    return;
  }
  const TaskDemand* demand = m_queue.Find(m_reservation->task);
  if (demand == nullptr || !m_queue.IsEligible(demand->id)) {
    ClearReservation();
    return;
  }
  Attempt attempt = Prepare(*demand, now_ms);
  attempt.options.ignore_holds = true;
  attempt.has_reservation = true;
  if (!IsReservationFresh(now_ms)) {
    ClearReservation();
  }
  TryTask(*demand, std::move(attempt), now_ms, result);
}

bool Scheduler::IsReservationFresh(int64_t now_ms) const {
  return now_ms - m_reservation->planned_ms < m_options.replan_interval_ms;
}

void Scheduler::ClearReservation() {
  m_reservation.reset();
  m_cell.SetHolds({});
}

void Scheduler::TryTask(const TaskDemand& demand,
                        Attempt attempt,
                        int64_t now_ms,
                        PassResult& result) {
  const bool keeps_reserve_free = KeepsReserveFree(attempt);
  if (!keeps_reserve_free && FreshRefusal(demand, now_ms)) {
    m_queue.Block(demand);
    return;
  }
  const bool skip_search = !keeps_reserve_free || IsKnownNotToFit(attempt);
  attempt.lacks_room = keeps_reserve_free;
  Decision decision =
      skip_search ? Decision(m_cell.Explain(demand)) : Decide(attempt, demand);
  if (auto* placement = std::get_if<Placement>(&decision)) {
    Start(demand, std::move(attempt), std::move(*placement), now_ms, result);
    return;
  }
  std::optional<std::string> infeasible =
      InfeasibilityReason(attempt, demand, decision);
  if (infeasible) {
    result.failures.push_back({demand.id, std::move(*infeasible)});
    m_queue.Remove(demand.id);
    return;
  }
  if (!skip_search && MemberCount(demand) == 1) {
    m_refused.push_back({attempt.demand.size, attempt.options.ends_by_ms});
  }
  Refuse(demand, attempt, now_ms, result);
}

Scheduler::Attempt Scheduler::Prepare(const TaskDemand& demand,
                                      int64_t now_ms) const {
  const std::optional<JobEstimate> estimate =
      m_statistics.Find(JobKeyOf(demand));
  Attempt attempt;
  attempt.demand = demand;
  attempt.demand.size = SizeToReserve(estimate, demand.size);
  attempt.demand.urgent = m_queue.IsUrgent(demand);
  attempt.options.ignore_holds = attempt.demand.urgent;
  const int64_t run_ms = ExpectedRunTime(estimate, demand.expected_run_ms);
  attempt.is_long = IsLong(demand, run_ms, m_options.long_run_ms);
  attempt.reserved_share = ReservedShare(attempt);
  const std::optional<int64_t> bound = RunTimeBound(estimate);
  if (bound && demand.task_class != TaskClass::kService) {
    attempt.options.ends_by_ms = now_ms + *bound;
  }
  return attempt;
}

// Falls back to the declared size if no worker could hold the learned size, so
// that the usage of earlier runs does not cause the task to fail.
Decision Scheduler::Decide(Attempt& attempt, const TaskDemand& declared) const {
  Decision decision = m_cell.Place(attempt.demand, attempt.options);
  if (std::holds_alternative<Refusal>(decision) &&
      !attempt.demand.avoided_workers.empty()) {
    attempt.demand.avoided_workers.clear();
    decision = m_cell.Place(attempt.demand, attempt.options);
  }
  const auto* refusal = std::get_if<Refusal>(&decision);
  if (refusal == nullptr || refusal->kind != RefusalKind::kInfeasible ||
      attempt.demand.size == declared.size) {
    return decision;
  }
  attempt.demand.size = declared.size;
  return m_cell.Place(attempt.demand, attempt.options);
}

// Returns the share of the cell that must stay free after placing the demand.
double Scheduler::ReservedShare(const Attempt& attempt) const {
  const TaskDemand& demand = attempt.demand;
  if (demand.task_class == TaskClass::kService || demand.urgent) {
    return 0;
  }
  return attempt.is_long
             ? m_options.service_reserve + m_options.short_work_reserve
             : m_options.service_reserve;
}

std::optional<std::string> Scheduler::InfeasibilityReason(
    const Attempt& attempt,
    const TaskDemand& declared,
    const Decision& decision) const {
  if (!m_all_workers_known) {
    return std::nullopt;
  }
  const auto& refusal = std::get<Refusal>(decision);
  if (refusal.kind == RefusalKind::kInfeasible) {
    return refusal.reason;
  }
  const Resources& capacity = m_cell.KnownCapacity();
  const Resources total = TotalSize(declared);
  if (KeepsShareFree(total, capacity, capacity, attempt.reserved_share)) {
    return std::nullopt;
  }
  return "task \"" + declared.id + "\" needs " + ToString(total) +
         " of a cell of " + ToString(capacity) +
         ", which does not leave the reserve for other work";
}

// The size of the reservation is not available to other long tasks that would
// still be running when it starts. Other tasks are restricted only by the holds
// on single workers.
bool Scheduler::KeepsReserveFree(const Attempt& attempt) const {
  if (attempt.reserved_share <= 0) {
    return true;
  }
  Resources room = m_cell.TotalRoom();
  if (m_reservation && !attempt.has_reservation && attempt.is_long &&
      attempt.options.ends_by_ms > m_reservation->start_ms) {
    room = Subtract(room, m_reservation->size);
  }
  return KeepsShareFree(TotalSize(attempt.demand), room, m_cell.TotalCapacity(),
                        attempt.reserved_share);
}

bool Scheduler::IsKnownNotToFit(const Attempt& attempt) const {
  return std::any_of(m_refused.begin(), m_refused.end(),
                     [&attempt](const RefusedDemand& refused) {
                       return !attempt.options.ignore_holds &&
                              attempt.options.ends_by_ms >=
                                  refused.ends_by_ms &&
                              Fits(refused.size, attempt.demand.size);
                     });
}

void Scheduler::Refuse(const TaskDemand& demand,
                       const Attempt& attempt,
                       int64_t now_ms,
                       PassResult& result) {
  if (attempt.demand.urgent) {
    ProposePreemptions(demand, now_ms, result);
  } else if (MayReserve(demand, now_ms)) {
    MakeReservation(attempt, now_ms);
  }
  m_queue.Block(demand,
                {m_cell.CapacityGainCount(), now_ms, !attempt.lacks_room});
}

// Proposes preemptions for all tasks of the group, because a group is blocked
// as a whole.
void Scheduler::ProposePreemptions(const TaskDemand& demand,
                                   int64_t now_ms,
                                   PassResult& result) {
  const TaskDemand* next = &demand;
  for (size_t i = 0; next != nullptr && i < m_options.max_preemptions_per_pass;
       ++i) {
    ProposePreemption(*next, now_ms, result);
    next = m_queue.NextInGroup(*next);
  }
}

void Scheduler::ProposePreemption(const TaskDemand& demand,
                                  int64_t now_ms,
                                  PassResult& result) {
  const int64_t expired_ms = now_ms - m_options.preemption_interval_ms;
  const auto earlier_proposal = m_proposals.find(demand.id);
  if (earlier_proposal != m_proposals.end() &&
      earlier_proposal->second.proposed_ms > expired_ms) {
    return;
  }
  ForgetProposal(demand.id);
  const Attempt attempt = Prepare(demand, now_ms);
  std::optional<PreemptionPlan> plan = PlanPreemption(
      m_cell, m_running, attempt.demand,
      [this](std::string_view name) { return EvictionPolicyOf(name); },
      [&](std::string_view worker) {
        const auto found = m_preempting_ms.find(worker);
        return found != m_preempting_ms.end() && found->second > expired_ms;
      },
      now_ms);
  Proposal& proposal = m_proposals[demand.id];
  proposal.proposed_ms = now_ms;
  if (!plan) {
    return;
  }
  proposal.workers = plan->placement.workers;
  for (const std::string& worker : proposal.workers) {
    m_preempting_ms[worker] = now_ms;
  }
  result.preemptions.push_back(std::move(*plan));
}

void Scheduler::MarkAwaitingApproval(std::string_view task) {
  const auto found = m_proposals.find(task);
  if (found != m_proposals.end()) {
    found->second.awaits_approval = true;
  }
}

void Scheduler::RetryAwaitingApproval() {
  std::vector<std::string> waiting;
  for (const auto& [id, proposal] : m_proposals) {
    if (proposal.awaits_approval) {
      waiting.push_back(id);
    }
  }
  for (const std::string& id : waiting) {
    ForgetProposal(id);
  }
}

void Scheduler::ForgetProposal(std::string_view id) {
  const auto found = m_proposals.find(id);
  if (found == m_proposals.end()) {
    return;
  }
  for (const std::string& worker : found->second.workers) {
    m_preempting_ms.erase(worker);
  }
  m_proposals.erase(found);
}

bool Scheduler::MayReserve(const TaskDemand& demand, int64_t now_ms) const {
  const bool is_candidate =
      MemberCount(demand) > 1 ||
      now_ms - demand.submitted_ms >= m_options.reserve_after_ms;
  if (m_reservation || now_ms < m_next_reservation_ms || !is_candidate) {
    return false;
  }
  const auto unplannable = m_unplannable_until_ms.find(demand.id);
  return unplannable == m_unplannable_until_ms.end() ||
         unplannable->second <= now_ms;
}

void Scheduler::MakeReservation(const Attempt& attempt, int64_t now_ms) {
  std::erase_if(m_unplannable_until_ms,
                [now_ms](const auto& entry) { return entry.second <= now_ms; });
  m_reservation = PlanReservation(m_cell, m_running, attempt.demand, now_ms);
  if (m_reservation) {
    m_cell.SetHolds(m_reservation->holds);
    return;
  }
  m_next_reservation_ms = now_ms + m_options.replan_interval_ms;
  m_unplannable_until_ms[attempt.demand.id] =
      now_ms + m_options.unplannable_interval_ms;
}

void Scheduler::Start(const TaskDemand& demand,
                      Attempt attempt,
                      Placement placement,
                      int64_t now_ms,
                      PassResult& result) {
  const Resources size = attempt.demand.size;
  const int64_t ends_by_ms = attempt.options.ends_by_ms;
  m_cell.Reserve(placement, size, ends_by_ms);
  const int64_t bound_ms =
      ends_by_ms == kUnknownEndMs ? 0 : ends_by_ms - now_ms;
  m_running.Add(MakeRunningTask(attempt.demand, placement, bound_ms, now_ms));
  m_queue.UpdateUsage(demand.plan, TotalSize(attempt.demand),
                      attempt.demand.urgent, 1);
  ForgetProposal(demand.id);
  if (m_reservation && m_reservation->task == demand.id) {
    ClearReservation();
  }
  StartDecision start = {demand, std::move(placement), size};
  m_queue.Remove(start.demand.id);
  result.starts.push_back(std::move(start));
}

EvictionPolicy Scheduler::EvictionPolicyOf(std::string_view plan) const {
  const PlanAllowance& allowance = m_queue.AllowanceOf(plan);
  return {allowance.preemptible, !Fits(m_queue.UsageOf(plan), allowance.quota),
          allowance.mode == ActionMode::kApprove};
}

void Scheduler::Adopt(RunningTask task) {
  if (m_running.Find(task.id) != nullptr) {
    return;
  }
  m_queue.UpdateUsage(
      task.plan, Multiply(task.size, static_cast<int64_t>(task.workers.size())),
      task.urgent, 1);
  m_running.Add(std::move(task));
}

bool Scheduler::EndTask(std::string_view id) {
  const RunningTask* task = m_running.Find(id);
  if (task == nullptr) {
    return false;
  }
  for (const std::string& worker : task->workers) {
    m_cell.Release(worker, task->size);
  }
  m_queue.UpdateUsage(
      task->plan,
      Multiply(task->size, static_cast<int64_t>(task->workers.size())),
      task->urgent, -1);
  return m_running.Remove(id);
}

void Scheduler::ObserveRun(const JobKey& key,
                           int64_t run_ms,
                           const Resources& peak) {
  m_statistics.ObserveRun(key, run_ms, peak);
}

void Scheduler::Requeue(TaskDemand demand) {
  EndTask(demand.id);
  Submit(std::move(demand));
}

CancelResult Scheduler::Cancel(std::span<const std::string> ids) {
  CancelResult result;
  for (const std::string& id : ids) {
    if (m_queue.Remove(id)) {
      ForgetProposal(id);
      result.not_started.push_back(id);
    } else if (m_running.Find(id) != nullptr) {
      result.running.push_back(id);
    } else {
      result.unknown.push_back(id);
    }
  }
  return result;
}

}  // namespace azurespur::placement
