#include "placement/pending_queue.h"

#include <algorithm>
#include <bit>
#include <cmath>
#include <limits>
#include <tuple>

namespace azurespur::placement {
namespace {

// Wait time whose aging credit equals a dominant share of one whole quota.
constexpr double kShareAgingMillis = 10.0 * 60 * 1000;

// Base share of plans without a quota, so that they rank behind plans that are
// within their quota.
constexpr double kNoQuotaShare = 1.0;

// Wait time whose aging credit equals one step of priority.
constexpr double kPriorityAgingMillis = 30.0 * 60 * 1000;

// Added to the wait time of all tasks. Without it the response ratio of tasks
// that have just been submitted would not depend on their run time, and short
// tasks would not go before long ones.
constexpr double kRankingWaitOffsetMillis = 1000;

// Base-2 logarithm of the response ratio that counts as one step of priority.
// Higher ratios count no more than that.
constexpr double kLog2RatioPerPriorityStep = 4.0;

// Tasks with a longer run time are ranked as if they ran this long. Otherwise
// the response ratio would delay them for days.
constexpr double kMaxRankedRunMillis = 10.0 * 60 * 1000;

Resources SaturatedAdd(const Resources& a, const Resources& b) {
  const auto add = [](int64_t x, int64_t y) {
    const int64_t largest = std::numeric_limits<int64_t>::max();
    return x > largest - y ? largest : x + y;
  };
  return {add(a.cpu_millis, b.cpu_millis), add(a.memory_mb, b.memory_mb),
          add(a.accelerators, b.accelerators)};
}

// Run-time estimates change with every finished run. Rounding up to a power of
// two keeps tasks with similar estimates in one group.
int64_t RunTimeBucket(int64_t run_ms) {
  const auto positive = static_cast<uint64_t>(std::max<int64_t>(run_ms, 1));
  return static_cast<int64_t>(std::bit_ceil(positive));
}

bool MayBeUrgent(const PlanAllowance& allowance, const TaskDemand& demand) {
  return demand.urgent && Fits(TotalSize(demand), allowance.urgent_limit);
}

bool HasQuota(const Resources& quota) {
  return quota.cpu_millis > 0 || quota.memory_mb > 0 || quota.accelerators > 0;
}

}  // namespace

struct PendingQueue::GroupKey {
  std::string job;
  TaskClass task_class;
  bool urgent;
  int64_t priority;
  int64_t cpu_millis;
  int64_t memory_mb;
  int64_t accelerators;
  int64_t gang_size;
  int64_t rack_limit;
  int64_t run_ms;

  auto AsTuple() const {
    return std::tie(job, task_class, urgent, priority, cpu_millis, memory_mb,
                    accelerators, gang_size, rack_limit, run_ms);
  }

  friend bool operator<(const GroupKey& a, const GroupKey& b) {
    return a.AsTuple() < b.AsTuple();
  }
};

// Tasks of one plan with identical requirements, oldest first.
struct PendingQueue::Group {
  using Order = std::pair<int64_t, uint64_t>;

  std::map<Order, const Task*> tasks;
  int64_t run_ms = 1;
  uint64_t blocked_pass = 0;
  std::optional<CachedRefusal> refusal;
};

struct PendingQueue::Plan {
  PlanAllowance allowance;
  Resources used;
  Resources used_urgent;
  std::map<GroupKey, Group> groups;
  // Heap of the groups that are not blocked. Valid while `ranked_pass` is the
  // current pass.
  std::vector<Candidate> ranked;
  uint64_t ranked_pass = 0;
  // The first of `ranked` that is within the limits, with the rank by which it
  // is compared with the candidates of other plans.
  Candidate best;
  bool best_is_known = false;
};

struct PendingQueue::Task {
  TaskDemand demand;
  Plan* plan = nullptr;
  std::map<GroupKey, Group>::iterator group;
  Group::Order order;
};

PendingQueue::PendingQueue() = default;
PendingQueue::~PendingQueue() = default;
PendingQueue::PendingQueue(PendingQueue&&) noexcept = default;
PendingQueue& PendingQueue::operator=(PendingQueue&&) noexcept = default;

void PendingQueue::SetAllowance(std::string_view plan,
                                const PlanAllowance& allowance) {
  Plan& found = GetPlan(plan);
  found.allowance = allowance;
  found.ranked_pass = 0;
}

const PlanAllowance& PendingQueue::AllowanceOf(std::string_view plan) const {
  static const PlanAllowance default_allowance;
  const auto found = m_plans.find(plan);
  return found == m_plans.end() ? default_allowance : found->second->allowance;
}

void PendingQueue::UpdateUsage(std::string_view plan,
                               const Resources& size,
                               bool urgent,
                               int64_t sign) {
  Plan& found = GetPlan(plan);
  const Resources change = Multiply(size, sign);
  found.used = Add(found.used, change);
  if (urgent) {
    found.used_urgent = Add(found.used_urgent, change);
  }
  found.best_is_known = false;
}

Resources PendingQueue::UsageOf(std::string_view plan) const {
  const auto found = m_plans.find(plan);
  return found == m_plans.end() ? Resources{} : found->second->used;
}

bool PendingQueue::Enqueue(TaskDemand demand, int64_t run_ms) {
  if (m_tasks.contains(demand.id)) {
    return false;
  }
  const GroupKey key = {demand.job,
                        demand.task_class,
                        demand.urgent,
                        demand.priority,
                        demand.size.cpu_millis,
                        demand.size.memory_mb,
                        demand.size.accelerators,
                        demand.gang_size,
                        demand.rack_limit,
                        RunTimeBucket(run_ms)};
  auto task = std::make_unique<Task>();
  Plan& plan = GetPlan(demand.plan);
  task->plan = &plan;
  task->group = plan.groups.try_emplace(key).first;
  task->group->second.run_ms = key.run_ms;
  task->order = {demand.submitted_ms, m_next_sequence++};
  task->demand = std::move(demand);
  task->group->second.tasks.emplace(task->order, task.get());
  plan.ranked_pass = 0;
  m_tasks.emplace(task->demand.id, std::move(task));
  return true;
}

bool PendingQueue::Remove(std::string_view id) {
  const auto found = m_tasks.find(id);
  if (found == m_tasks.end()) {
    return false;
  }
  const Task& task = *found->second;
  Plan& plan = *task.plan;
  Group& group = task.group->second;
  // Usually the task belongs to the first group and is removed because it
  // starts.
  const bool is_first = plan.ranked_pass == m_pass && !plan.ranked.empty() &&
                        plan.ranked.front().group == &group;
  if (is_first) {
    PopRanked(plan);
  } else {
    plan.ranked_pass = 0;
  }
  group.tasks.erase(task.order);
  if (group.tasks.empty()) {
    plan.groups.erase(task.group);
  } else if (is_first) {
    group.refusal.reset();
    PushRanked(plan, Rank(plan, group));
  }
  m_tasks.erase(found);
  return true;
}

const TaskDemand* PendingQueue::Find(std::string_view id) const {
  const auto found = m_tasks.find(id);
  return found == m_tasks.end() ? nullptr : &found->second->demand;
}

bool PendingQueue::IsUrgent(const TaskDemand& demand) const {
  return MayBeUrgent(AllowanceOf(demand.plan), demand);
}

bool PendingQueue::IsEligible(std::string_view id) const {
  const auto found = m_tasks.find(id);
  return found != m_tasks.end() &&
         WithinLimits(*found->second->plan, found->second->demand);
}

void PendingQueue::BeginPass(int64_t now_ms, const Resources& capacity) {
  ++m_pass;
  m_now_ms = now_ms;
  m_capacity = capacity;
}

const TaskDemand* PendingQueue::Next() {
  Candidate best;
  for (Plan* plan : m_plan_list) {
    if (plan->groups.empty()) {
      continue;
    }
    if (plan->ranked_pass != m_pass) {
      RankAll(*plan);
    }
    if (!plan->best_is_known) {
      plan->best = BestCandidate(*plan);
      plan->best_is_known = true;
    }
    const Candidate& candidate = plan->best;
    if (candidate.group == nullptr) {
      continue;
    }
    if (best.group == nullptr || RanksAfter(best, candidate)) {
      best = candidate;
    }
  }
  if (best.group == nullptr) {
    return nullptr;
  }
  return &best.group->tasks.begin()->second->demand;
}

const TaskDemand* PendingQueue::NextInGroup(const TaskDemand& demand) const {
  const auto found = m_tasks.find(demand.id);
  if (found == m_tasks.end()) {
    return nullptr;
  }
  const Task& task = *found->second;
  const auto& tasks = task.group->second.tasks;
  const auto next = tasks.upper_bound(task.order);
  return next == tasks.end() ? nullptr : &next->second->demand;
}

void PendingQueue::Block(const TaskDemand& demand) {
  const auto found = m_tasks.find(demand.id);
  if (found == m_tasks.end()) {
    return;
  }
  Plan& plan = *found->second->plan;
  Group& group = found->second->group->second;
  group.blocked_pass = m_pass;
  if (plan.ranked_pass == m_pass && !plan.ranked.empty() &&
      plan.ranked.front().group == &group) {
    PopRanked(plan);
  } else {
    plan.ranked_pass = 0;
  }
}

void PendingQueue::Block(const TaskDemand& demand,
                         const CachedRefusal& refusal) {
  Block(demand);
  const auto found = m_tasks.find(demand.id);
  if (found != m_tasks.end()) {
    found->second->group->second.refusal = refusal;
  }
}

std::optional<CachedRefusal> PendingQueue::FindRefusal(
    const TaskDemand& demand) const {
  const auto found = m_tasks.find(demand.id);
  return found == m_tasks.end() ? std::nullopt
                                : found->second->group->second.refusal;
}

bool PendingQueue::RanksAfter(const Candidate& a, const Candidate& b) {
  return std::tuple(!a.urgent, a.rank, a.sequence) >
         std::tuple(!b.urgent, b.rank, b.sequence);
}

PendingQueue::Plan& PendingQueue::GetPlan(std::string_view plan) {
  const auto found = m_plans.find(plan);
  if (found != m_plans.end()) {
    return *found->second;
  }
  Plan& added = *m_plans.emplace(plan, std::make_unique<Plan>()).first->second;
  m_plan_list.push_back(&added);
  return added;
}

bool PendingQueue::WithinLimits(const Plan& plan,
                                const TaskDemand& demand) const {
  const Resources total = TotalSize(demand);
  if (!Fits(SaturatedAdd(plan.used, total), plan.allowance.limit)) {
    return false;
  }
  return !MayBeUrgent(plan.allowance, demand) ||
         Fits(SaturatedAdd(plan.used_urgent, total),
              plan.allowance.urgent_limit);
}

double PendingQueue::DominantShareOf(const Plan& plan) const {
  if (HasQuota(plan.allowance.quota)) {
    return DominantShare(plan.used, plan.allowance.quota);
  }
  return kNoQuotaShare + DominantShare(plan.used, m_capacity);
}

void PendingQueue::RankAll(Plan& plan) const {
  plan.ranked.clear();
  for (auto& [key, group] : plan.groups) {
    if (group.blocked_pass != m_pass) {
      plan.ranked.push_back(Rank(plan, group));
    }
  }
  std::make_heap(plan.ranked.begin(), plan.ranked.end(), RanksAfter);
  plan.ranked_pass = m_pass;
  plan.best_is_known = false;
}

void PendingQueue::PushRanked(Plan& plan, const Candidate& candidate) {
  plan.ranked.push_back(candidate);
  std::push_heap(plan.ranked.begin(), plan.ranked.end(), RanksAfter);
  plan.best_is_known = false;
}

void PendingQueue::PopRanked(Plan& plan) {
  std::pop_heap(plan.ranked.begin(), plan.ranked.end(), RanksAfter);
  plan.ranked.pop_back();
  plan.best_is_known = false;
}

// Drops groups that exceed the plan's limits from this pass.
PendingQueue::Candidate PendingQueue::BestCandidate(Plan& plan) const {
  while (!plan.ranked.empty()) {
    Candidate best = plan.ranked.front();
    const TaskDemand& demand = best.group->tasks.begin()->second->demand;
    if (!WithinLimits(plan, demand)) {
      PopRanked(plan);
      continue;
    }
    if (!best.urgent) {
      // Plans are compared by their share, not by the rank within the plan.
      const auto waited_ms =
          static_cast<double>(m_now_ms - demand.submitted_ms);
      best.rank = DominantShareOf(plan) - waited_ms / kShareAgingMillis;
    }
    return best;
  }
  return {};
}

PendingQueue::Candidate PendingQueue::Rank(const Plan& plan,
                                           Group& group) const {
  const TaskDemand& demand = group.tasks.begin()->second->demand;
  const uint64_t sequence = group.tasks.begin()->first.second;
  if (MayBeUrgent(plan.allowance, demand)) {
    return {&group, true, static_cast<double>(demand.submitted_ms), sequence};
  }
  const auto waited_ms =
      static_cast<double>(std::max<int64_t>(m_now_ms - demand.submitted_ms, 0));
  const double ranked_run_ms =
      std::min(static_cast<double>(group.run_ms), kMaxRankedRunMillis);
  const double ratio =
      (waited_ms + kRankingWaitOffsetMillis + ranked_run_ms) / ranked_run_ms;
  const double ratio_steps =
      std::min(std::log2(ratio) / kLog2RatioPerPriorityStep, 1.0);
  const double priority =
      static_cast<double>(demand.priority) + waited_ms / kPriorityAgingMillis;
  return {&group, false, -(priority + ratio_steps), sequence};
}

}  // namespace azurespur::placement
