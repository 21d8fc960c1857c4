// Explains why a demand has no place.

#ifndef PLACEMENT_SRC_REFUSAL_REASON_H_
#define PLACEMENT_SRC_REFUSAL_REASON_H_

#include "placement/cell.h"
#include "placement/decision.h"
#include "placement/task_demand.h"

namespace azurespur::placement {

// Tells a demand that the cell can never hold from one that must wait. Looks at
// the capacity of all workers, so that a worker that is leaving or quarantined
// does not fail work that its replacement will run.
Refusal ExplainRefusal(const Cell& cell, const TaskDemand& demand);

}  // namespace azurespur::placement

#endif  // PLACEMENT_SRC_REFUSAL_REASON_H_
