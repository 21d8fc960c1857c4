// Explains why a demand cannot be placed.

#ifndef PLACEMENT_SRC_REFUSAL_REASON_H_
#define PLACEMENT_SRC_REFUSAL_REASON_H_

#include "placement/cell.h"
#include "placement/decision.h"
#include "placement/task_demand.h"

namespace azurespur::placement {

// Distinguishes a demand that the cell can never hold from one that has to
// wait. Considers the capacity of all workers in any condition, so that a task
// does not fail because a worker is leaving or quarantined when the worker's
// replacement could run it.
Refusal ExplainRefusal(const Cell& cell, const TaskDemand& demand);

}  // namespace azurespur::placement

#endif  // PLACEMENT_SRC_REFUSAL_REASON_H_
