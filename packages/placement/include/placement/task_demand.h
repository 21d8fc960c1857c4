// What a task asks of the cell.

#ifndef PLACEMENT_TASK_DEMAND_H_
#define PLACEMENT_TASK_DEMAND_H_

#include <cstdint>
#include <string>
#include <vector>

#include "placement/resources.h"

namespace azurespur::placement {

enum class TaskClass {
  kService,  // Runs until stopped.
  kBatch,    // Runs to its end.
  kGang,     // Runs to its end; all members start or none.
};

// Times are milliseconds on one clock of the caller's choice.
struct TaskDemand {
  std::string id;
  std::string plan;
  // Names the kind of work within its plan. Run times and real sizes are
  // learned per plan and job.
  std::string job;
  TaskClass task_class = TaskClass::kBatch;
  // Members to start together. 1 unless the class is kGang.
  int64_t gang_size = 1;
  // Declared size of each member.
  Resources size;
  // Largest number of gang members in one rack. 0 is no limit.
  int64_t rack_limit = 0;
  // Urgent work goes first and may preempt within the allowances.
  bool urgent = false;
  // A checkpoint of the task can be taken and run on later.
  bool checkpointable = false;
  // Higher goes first within a plan.
  int64_t priority = 0;
  // Run time that the caller expects. 0 is unknown.
  int64_t expected_run_ms = 0;
  int64_t submitted_ms = 0;
  // 0 is none.
  int64_t deadline_ms = 0;
  // Workers that failed it lately: taken only where no other has room.
  std::vector<std::string> avoided_workers;
};

// Members that `demand` starts: its gang size, at least 1.
int64_t MemberCount(const TaskDemand& demand);

// The sizes of all members together.
Resources TotalSize(const TaskDemand& demand);

}  // namespace azurespur::placement

#endif  // PLACEMENT_TASK_DEMAND_H_
