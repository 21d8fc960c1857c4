#include "jobs/job_spec.h"

#include <algorithm>

namespace azurespur::jobs {

namespace {

bool IsValidStep(const StepSpec& step, size_t number) {
  return step.count >= 0 && step.count <= kMaxTasksPerStep &&
         std::all_of(
             step.after.begin(), step.after.end(), [number](int32_t earlier) {
               return earlier >= 0 && static_cast<size_t>(earlier) < number;
             });
}

}  // namespace

bool IsValid(const JobSpec& spec) {
  if (spec.steps.size() > kMaxSteps) {
    return false;
  }
  for (size_t i = 0; i < spec.steps.size(); ++i) {
    if (!IsValidStep(spec.steps[i], i)) {
      return false;
    }
  }
  return true;
}

}  // namespace azurespur::jobs
