// What one plan may use, as placement sees it.

#ifndef PLACEMENT_PLAN_ALLOWANCE_H_
#define PLACEMENT_PLAN_ALLOWANCE_H_

#include <cstdint>
#include <limits>

#include "placement/resources.h"

namespace azurespur::placement {

inline constexpr Resources kUnlimited = {std::numeric_limits<int64_t>::max(),
                                         std::numeric_limits<int64_t>::max(),
                                         std::numeric_limits<int64_t>::max()};

// Whether disruptive actions on the work of a plan are done at once.
enum class ActionMode {
  kAutomatic,
  kApprove,  // Proposed, and done only when an operator approves.
};

struct PlanAllowance {
  // Fair share is measured against the quota. Work above it runs on what
  // others leave, and is preempted first.
  Resources quota;
  // Never exceeded.
  Resources limit = kUnlimited;
  // Most urgent work that runs at once.
  Resources urgent_limit = kUnlimited;
  // Its batch work may be evicted for urgent work of other plans.
  bool preemptible = true;
  ActionMode mode = ActionMode::kAutomatic;
};

}  // namespace azurespur::placement

#endif  // PLACEMENT_PLAN_ALLOWANCE_H_
