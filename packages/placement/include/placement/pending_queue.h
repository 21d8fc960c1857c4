// Queue of pending tasks with fair sharing between plans.

#ifndef PLACEMENT_PENDING_QUEUE_H_
#define PLACEMENT_PENDING_QUEUE_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "placement/plan_allowance.h"
#include "placement/string_hash.h"
#include "placement/task_demand.h"

namespace azurespur::placement {

// When and why a demand was last refused.
struct CachedRefusal {
  // Cell::CapacityGainCount() at the time of the refusal.
  uint64_t capacity_gain_count = 0;
  int64_t time_ms = 0;
  // Refused to keep a reserve free, not for lack of room on the workers.
  bool blocked_by_reserve = false;
};

// Selection order:
//  1. urgent tasks within the urgent limit of their plan, oldest first;
//  2. the plan with the smallest dominant share of its quota (dominant resource
//     fairness), minus an aging credit for the time its next task has waited;
//  3. within a plan the highest priority, where waiting raises the priority
//     (aging), then the highest response ratio (wait time + run time) / run
//     time. Short tasks thus overtake long ones without starving them.
// Tasks of one plan with identical requirements form a group. If the first task
// of a group is blocked, the whole group is skipped until the next pass. Not
// thread-safe.
class PendingQueue {
 public:
  PendingQueue();
  ~PendingQueue();

  PendingQueue(PendingQueue&&) noexcept;
  PendingQueue& operator=(PendingQueue&&) noexcept;

  // A plan without an allowance has no limits and a quota of zero.
  void SetAllowance(std::string_view plan, const PlanAllowance& allowance);
  const PlanAllowance& AllowanceOf(std::string_view plan) const;

  // Adds `size` to the plan's usage when a task starts (`sign` 1), or subtracts
  // it when a task ends (`sign` -1).
  void UpdateUsage(std::string_view plan,
                   const Resources& size,
                   bool urgent,
                   int64_t sign);
  Resources UsageOf(std::string_view plan) const;

  // `run_ms` is the expected run time. Returns false if a task with this id is
  // already queued.
  bool Enqueue(TaskDemand demand, int64_t run_ms);

  // Returns false if no task with this id is queued.
  bool Remove(std::string_view id);

  const TaskDemand* Find(std::string_view id) const;

  // True if `demand` is marked urgent and on its own fits the urgent limit of
  // its plan. Otherwise it is scheduled as a normal task.
  bool IsUrgent(const TaskDemand& demand) const;

  // True if the task is queued and can start without exceeding the limits of
  // its plan.
  bool IsEligible(std::string_view id) const;

  // Starts a scheduling pass and unblocks all groups. `capacity` is the total
  // capacity of the cell.
  void BeginPass(int64_t now_ms, const Resources& capacity);

  // Returns the demand to place next in this pass, or null if none is left. The
  // caller must either place and remove it, or block it.
  const TaskDemand* Next();

  // Returns the task queued after `demand` in the same group, or null.
  const TaskDemand* NextInGroup(const TaskDemand& demand) const;

  // Skips the group of `demand` for the rest of this pass. A refusal is cached
  // for the group until one of its tasks is removed while the group is the
  // plan's next choice, usually because the task starts.
  void Block(const TaskDemand& demand);
  void Block(const TaskDemand& demand, const CachedRefusal& refusal);

  // Returns the refusal cached for the group of `demand`, if any.
  std::optional<CachedRefusal> FindRefusal(const TaskDemand& demand) const;

  size_t size() const { return m_tasks.size(); }

 private:
  struct Group;
  struct Plan;
  struct Task;
  struct GroupKey;

  // The first task of a group with its rank in this pass.
  struct Candidate {
    Group* group = nullptr;
    bool urgent = false;
    double rank = 0;  // Lower ranks are selected first.
    uint64_t sequence = 0;
  };

  static bool RanksAfter(const Candidate& a, const Candidate& b);
  Plan& GetPlan(std::string_view plan);
  bool WithinLimits(const Plan& plan, const TaskDemand& demand) const;
  double DominantShareOf(const Plan& plan) const;
  Candidate BestCandidate(Plan& plan) const;
  Candidate Rank(const Plan& plan, Group& group) const;
  void RankAll(Plan& plan) const;
  static void PushRanked(Plan& plan, const Candidate& candidate);
  static void PopRanked(Plan& plan);

  std::map<std::string, std::unique_ptr<Plan>, std::less<>> m_plans;
  // The plans of `m_plans` in an array, which is faster to iterate in Next().
  std::vector<Plan*> m_plan_list;
  StringMap<std::unique_ptr<Task>> m_tasks;
  uint64_t m_next_sequence = 0;
  uint64_t m_pass = 0;
  int64_t m_now_ms = 0;
  Resources m_capacity;
};

}  // namespace azurespur::placement

#endif  // PLACEMENT_PENDING_QUEUE_H_
