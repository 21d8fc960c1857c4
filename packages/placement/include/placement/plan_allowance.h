// Resource quota, limits and preemption settings of one plan.

#ifndef PLACEMENT_PLAN_ALLOWANCE_H_
#define PLACEMENT_PLAN_ALLOWANCE_H_

#include <cstdint>
#include <limits>

#include "placement/resources.h"

namespace azurespur::placement {

inline constexpr Resources kUnlimited = {std::numeric_limits<int64_t>::max(),
                                         std::numeric_limits<int64_t>::max(),
                                         std::numeric_limits<int64_t>::max()};

// Whether evictions and moves of a plan's tasks need an operator's approval.
enum class ActionMode {
  kAutomatic,
  kApprove,  // Only proposed; carried out once an operator approves.
};

struct PlanAllowance {
  // Fair shares are computed relative to the quota. A plan may exceed it while
  // capacity is free, but its tasks are then the first to be preempted.
  Resources quota;
  // Hard limit on the resources of the plan's running tasks.
  Resources limit = kUnlimited;
  // Limit on the resources of the plan's running urgent tasks.
  Resources urgent_limit = kUnlimited;
  // Whether the plan's batch and gang tasks may be evicted to make room for
  // urgent tasks.
  bool preemptible = true;
  ActionMode mode = ActionMode::kAutomatic;
};

}  // namespace azurespur::placement

#endif  // PLACEMENT_PLAN_ALLOWANCE_H_
