// The body of a submitted task.

#ifndef CONTROL_TASK_REQUEST_H_
#define CONTROL_TASK_REQUEST_H_

#include <string_view>

#include "base/outcome.h"
#include "control/task_spec.h"

namespace azurespur::control {

// Reads the JSON body of `POST /v1/tasks`. With a key, the id is made from plan
// and key, so that a repeat names the same task. Errors: kInvalid, with field
// and value.
base::Outcome<TaskSpec> ParseTaskRequest(std::string_view body);

}  // namespace azurespur::control

#endif  // CONTROL_TASK_REQUEST_H_
