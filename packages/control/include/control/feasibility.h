// Whether the platform's workers could ever hold a task.

#ifndef CONTROL_FEASIBILITY_H_
#define CONTROL_FEASIBILITY_H_

#include <string>
#include <string_view>

#include "control/task_spec.h"
#include "services/vm_list.h"

namespace azurespur::control {

// True if the workers of `domain`, when empty, could hold all members at once.
bool FitsDomain(const TaskSpec& spec,
                const services::VmListPage& list,
                std::string_view domain);

// Why no domain could ever hold the task; empty if one could, or if the list is
// not known yet.
std::string WhyNeverFits(const TaskSpec& spec,
                         const services::VmListPage& list);

}  // namespace azurespur::control

#endif  // CONTROL_FEASIBILITY_H_
