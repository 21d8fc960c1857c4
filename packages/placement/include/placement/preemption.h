// Selects running tasks to evict so that an urgent task can start.

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
  // The urgent task to start after the evictions.
  std::string task;
  Placement placement;
  // Ids of the tasks to evict with all their members. Checkpointable tasks take
  // a checkpoint first.
  std::vector<std::string> victims;
  // True if the plan of any victim requires approval for evictions.
  bool needs_approval = false;
};

// Eviction rules that apply to the tasks of one plan.
struct EvictionPolicy {
  bool preemptible = true;
  bool over_quota = false;
  bool needs_approval = false;
};

using EvictionPolicyLookup =
    std::function<EvictionPolicy(std::string_view plan)>;

// Returns true for a worker where evictions are already in progress. Such
// workers are not considered.
using BusyWorkerPredicate = std::function<bool(std::string_view worker)>;

// Cost of evicting `task`: the run time lost, which a checkpoint reduces, plus
// the cost of the restart, for all members. Lower for plans above their quota.
// Tasks with a lower cost are evicted first. Empty if the task must not be
// evicted: services, urgent tasks and tasks of plans that are not preemptible.
std::optional<double> EvictionCost(const RunningTask& task,
                                   const EvictionPolicy& plan,
                                   int64_t now_ms);

// Greedy heuristic: places one member after the other on the worker where this
// costs least. On each worker the cheapest tasks are evicted first; those that
// turn out not to be needed are then spared. Empty if this does not make room
// for all members.
std::optional<PreemptionPlan> PlanPreemption(const Cell& cell,
                                             const RunningTasks& running,
                                             const TaskDemand& demand,
                                             const EvictionPolicyLookup& lookup,
                                             const BusyWorkerPredicate& is_busy,
                                             int64_t now_ms);

}  // namespace azurespur::placement

#endif  // PLACEMENT_PREEMPTION_H_
