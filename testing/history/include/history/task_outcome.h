// The fate of a task as a VM told it.

#ifndef HISTORY_TASK_OUTCOME_H_
#define HISTORY_TASK_OUTCOME_H_

#include <cstdint>
#include <string>

namespace azurespur::history {

struct TaskOutcome {
  int64_t time_ms = 0;
  std::string task;
  std::string fate;
};

}  // namespace azurespur::history

#endif  // HISTORY_TASK_OUTCOME_H_
