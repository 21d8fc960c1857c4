// State of one worker and the computation of its used resources.

#ifndef PLACEMENT_WORKER_STATE_H_
#define PLACEMENT_WORKER_STATE_H_

#include <string>

#include "placement/resources.h"

namespace azurespur::placement {

enum class WorkerCondition {
  kLive,
  kUnowned,      // Not owned by this scheduler: no new tasks.
  kLeaving,      // Being drained: no new tasks.
  kQuarantined,  // No new tasks until the next probe.
  kProbing,      // May get one non-urgent, single-member batch task.
};

struct WorkerState {
  std::string id;
  std::string rack;
  WorkerCondition condition = WorkerCondition::kLive;
  Resources capacity;
  // From UsedResources().
  Resources used;
};

// Reported and reserved resources from which UsedResources() is computed.
struct WorkerUsage {
  // Measured usage of all tasks in the latest report.
  Resources reported;
  // Age of that report at the time of the decision.
  int64_t report_age_ms = 0;
  // Declared sizes of all tasks bound to the worker that are not known to have
  // ended, regardless of whether the start was sent or the report includes
  // them.
  Resources bound;
  // The part of `bound` that the report does not include yet.
  Resources unreported;
};

// Relative margin added to reported processor and memory usage to account for
// growth since the report was made.
double ReportMargin(int64_t report_age_ms);

// Resources of a worker that are not available to other tasks: per resource the
// larger of
//  - the declared sizes of all bound tasks, and
//  - the reported usage raised by ReportMargin(), plus the declared sizes of
//    tasks that the report does not include.
// The margin raises no reported usage above `capacity`; usage that is reported
// above it counts in full.
Resources UsedResources(const WorkerUsage& usage, const Resources& capacity);

}  // namespace azurespur::placement

#endif  // PLACEMENT_WORKER_STATE_H_
