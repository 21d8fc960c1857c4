// Chooses running work to evict so that urgent work can start.

#ifndef PLACEMENT_PREEMPTION_H_
#define PLACEMENT_PREEMPTION_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "placement/cell.h"
#include "placement/decision.h"
#include "placement/running_tasks.h"
#include "placement/task_demand.h"

namespace azurespur::placement {

struct PreemptionPlan {
  // Starts after the evictions.
  std::string task;
  Placement placement;
  // Ids of the tasks to evict whole; those with a checkpoint first take one.
  std::vector<std::string> victims;
  // A plan that loses work wants its evictions approved.
  bool needs_approval = false;
};

// How a plan stands towards evictions.
struct EvictionPolicy {
  bool preemptible = true;
  bool over_quota = false;
  bool needs_approval = false;
};

using EvictionPolicyLookup =
    std::function<EvictionPolicy(std::string_view plan)>;

// Workers to leave alone, because evictions are under way there.
using BusyWorkerPredicate = std::function<bool(std::string_view worker)>;

// Cost of evicting `task`: the work lost, weighed by how easily it is redone.
// Lower is evicted first. Empty if the task must not be evicted: services,
// urgent work and work of plans that are not preemptible.
std::optional<double> EvictionCost(const RunningTask& task,
                                   const EvictionPolicy& plan,
                                   int64_t now_ms);

// The cheapest victims found, worker by worker: on each worker the cheapest
// tasks first, less those that turn out not to be needed. Empty if evictions do
// not make room for all members.
std::optional<PreemptionPlan> PlanPreemption(const Cell& cell,
                                             const RunningTasks& running,
                                             const TaskDemand& demand,
                                             const EvictionPolicyLookup& lookup,
                                             const BusyWorkerPredicate& is_busy,
                                             int64_t now_ms);

}  // namespace azurespur::placement

#endif  // PLACEMENT_PREEMPTION_H_
