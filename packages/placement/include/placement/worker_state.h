// What is known of one worker, and how much of it counts as used.

#ifndef PLACEMENT_WORKER_STATE_H_
#define PLACEMENT_WORKER_STATE_H_

#include <string>

#include "placement/resources.h"

namespace azurespur::placement {

enum class WorkerCondition {
  kLive,
  kUnowned,      // Known, but not ours to start work on.
  kLeaving,      // Gets nothing new.
  kQuarantined,  // Gets nothing new until it is probed.
  kProbing,      // Gets one single batch task that is not urgent.
};

struct WorkerState {
  std::string id;
  std::string rack;
  WorkerCondition condition = WorkerCondition::kLive;
  Resources capacity;
  // From UsedResources().
  Resources used;
};

// The three views of what a worker carries.
struct WorkerUsage {
  // Measured usage of all tasks in the newest report.
  Resources reported;
  // Age of that report at the time of the decision.
  int64_t report_age_ms = 0;
  // Declared sizes of every task bound to the worker and not known to have
  // ended, whether its start was sent or not, and whether the report shows it
  // or not.
  Resources bound;
  // The part of `bound` that the report does not show yet.
  Resources unreported;
};

// Share by which reported processors and memory are raised for a report of
// this age.
double ReportMargin(int64_t report_age_ms);

// The resources of a worker that must not be given to another task: in each
// resource the larger of
//  - the declared sizes of all bound tasks, and
//  - reported usage raised by ReportMargin(), plus the declared sizes of tasks
//    that the report does not show.
// The margin alone never takes the result above `capacity`; real overload does.
Resources UsedResources(const WorkerUsage& usage, const Resources& capacity);

}  // namespace azurespur::placement

#endif  // PLACEMENT_WORKER_STATE_H_
