// Resource requirements and scheduling attributes of a task.

#ifndef PLACEMENT_TASK_DEMAND_H_
#define PLACEMENT_TASK_DEMAND_H_

#include <cstdint>
#include <string>
#include <vector>

#include "placement/resources.h"

namespace azurespur::placement {

enum class TaskClass {
  kService,  // Runs until stopped.
  kBatch,    // Runs to completion.
  kGang,     // Runs to completion; all members start or none.
};

// Times are in milliseconds on a clock chosen by the caller.
struct TaskDemand {
  std::string id;
  std::string plan;
  // Kind of task within the plan. Run times and actual resource usage are
  // learned per plan and job.
  std::string job;
  TaskClass task_class = TaskClass::kBatch;
  // Members to start together. 1 unless the class is kGang.
  int64_t gang_size = 1;
  // Declared size of each member.
  Resources size;
  // Maximum number of gang members per rack. 0 means no limit.
  int64_t rack_limit = 0;
  // Urgent tasks are scheduled first and may preempt others, within the limits
  // of PlanAllowance.
  bool urgent = false;
  // The task can be checkpointed and resumed later.
  bool checkpointable = false;
  // Tasks with a higher priority are scheduled first within a plan.
  int64_t priority = 0;
  // Run time declared by the caller. 0 means unknown.
  int64_t expected_run_ms = 0;
  int64_t submitted_ms = 0;
  // 0 means no deadline.
  int64_t deadline_ms = 0;
  // Workers on which the task failed recently. Used only if no other worker has
  // room.
  std::vector<std::string> avoided_workers;
};

// Number of members that `demand` starts: its gang size, but at least 1.
int64_t MemberCount(const TaskDemand& demand);

// Total size of all members.
Resources TotalSize(const TaskDemand& demand);

}  // namespace azurespur::placement

#endif  // PLACEMENT_TASK_DEMAND_H_
