// Tasks and runs in the terms of the package placement.

#ifndef CONTROL_TASK_DEMAND_H_
#define CONTROL_TASK_DEMAND_H_

#include <cstdint>

#include "control/task_run.h"
#include "control/task_state.h"
#include "placement/running_tasks.h"
#include "placement/task_demand.h"

namespace azurespur::control {

// `now_ms` is the placement's clock at submission.
placement::TaskDemand ToDemand(const TaskState& task, int64_t now_ms);

placement::RunningTask ToRunningTask(const TaskRun& run, int64_t now_ms);

}  // namespace azurespur::control

#endif  // CONTROL_TASK_DEMAND_H_
