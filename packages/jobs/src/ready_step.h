// Helpers that the placement of single tasks and of gangs share.

#ifndef JOBS_SRC_READY_STEP_H_
#define JOBS_SRC_READY_STEP_H_

#include <cstddef>
#include <cstdint>
#include <utility>
#include <vector>

#include "jobs/scheduler.h"

namespace azurespur::jobs {

// An advice query covers this many times the slots that are needed, counting
// each worker by the share of eligible ones.
inline constexpr double kQueryMargin = 1.3;

inline const StepSpec& SpecOf(const ReadyStep& step) {
  return step.job->spec.steps[static_cast<size_t>(step.ref.step)];
}

inline const StepProgress& ProgressOf(const ReadyStep& step) {
  return step.job->steps[static_cast<size_t>(step.ref.step)];
}

// Upper limit on the tasks of the step on one worker, regardless of capacity.
inline int64_t MaxPerWorker(const StepSpec& spec) {
  return spec.max_per_worker > 0 ? spec.max_per_worker : spec.count;
}

// Sorts by descending number of slots.
void SortBySlots(std::vector<std::pair<const Worker*, int64_t>>& workers);

}  // namespace azurespur::jobs

#endif  // JOBS_SRC_READY_STEP_H_
