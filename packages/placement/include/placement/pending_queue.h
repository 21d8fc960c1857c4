// Waiting work, and which of it to place next.

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

// When and why a demand was refused.
struct CachedRefusal {
  uint64_t capacity_gain_count = 0;  // Cell::CapacityGainCount().
  int64_t time_ms = 0;
  bool blocked_by_reserve = false;  // Not for want of room.
};

// Order of choice:
//  1. urgent work within its plan's urgent limit, oldest first;
//  2. the plan with the smallest dominant share of its quota (dominant resource
//     fairness), less a credit for how long its next task has waited;
//  3. within a plan higher priority first, then the highest response ratio
//     (waited + run time) / run time, so that short work passes long work and
//     nothing waits for ever.
// Tasks that ask for the same are one group; a group whose first task was
// blocked is passed over until the next pass. Not thread-safe.
class PendingQueue {
 public:
  PendingQueue();
  ~PendingQueue();

  PendingQueue(PendingQueue&&) noexcept;
  PendingQueue& operator=(PendingQueue&&) noexcept;

  // Plans without an allowance get one without limits and without quota.
  void SetAllowance(std::string_view plan, const PlanAllowance& allowance);
  const PlanAllowance& AllowanceOf(std::string_view plan) const;

  // Counts resources of started work, or with `sign` -1 of ended work, for the
  // plan.
  void UpdateUsage(std::string_view plan,
                   const Resources& size,
                   bool urgent,
                   int64_t sign);
  Resources UsageOf(std::string_view plan) const;

  // `run_ms` is the expected run time. Returns false if the id is known.
  bool Enqueue(TaskDemand demand, int64_t run_ms);

  // Returns false if the id is unknown.
  bool Remove(std::string_view id);

  const TaskDemand* Find(std::string_view id) const;

  // True if `demand` asks to be urgent and its plan's urgent limit could ever
  // admit it. Else it is treated like other work.
  bool IsUrgent(const TaskDemand& demand) const;

  // True if the task waits and its plan's limits admit it.
  bool IsEligible(std::string_view id) const;

  // Starts a pass: nothing is blocked any more. `capacity` is that of the cell.
  void BeginPass(int64_t now_ms, const Resources& capacity);

  // The demand to place next in this pass, or null. The caller places and
  // removes it, or blocks it.
  const TaskDemand* Next();

  // The waiting task after `demand` of those that ask for the same, or null.
  const TaskDemand* NextInGroup(const TaskDemand& demand) const;

  // Passes over `demand`, and all that ask for the same, in this pass. A
  // refusal is remembered until the first of them starts.
  void Block(const TaskDemand& demand);
  void Block(const TaskDemand& demand, const CachedRefusal& refusal);

  // The refusal remembered for `demand` and those that ask for the same.
  std::optional<CachedRefusal> FindRefusal(const TaskDemand& demand) const;

  size_t size() const { return m_tasks.size(); }

 private:
  struct Group;
  struct Plan;
  struct Task;
  struct GroupKey;

  // A group's first task as it competes in this pass.
  struct Candidate {
    Group* group = nullptr;
    bool urgent = false;
    double rank = 0;  // Lower goes first.
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
  // The same, close together.
  std::vector<Plan*> m_plan_list;
  StringMap<std::unique_ptr<Task>> m_tasks;
  uint64_t m_next_sequence = 0;
  uint64_t m_pass = 0;
  int64_t m_now_ms = 0;
  Resources m_capacity;
};

}  // namespace azurespur::placement

#endif  // PLACEMENT_PENDING_QUEUE_H_
