#include "jobs/task_ref.h"

namespace azurespur::jobs {

std::string ToString(const StepRef& step) {
  return FormatJobId(step.job) + "/" + std::to_string(step.step);
}

std::string ToString(const TaskRef& task) {
  return ToString(task.StepOf()) + "/" + std::to_string(task.index);
}

}  // namespace azurespur::jobs
