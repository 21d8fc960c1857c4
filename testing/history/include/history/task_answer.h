// What the caller of a submission heard.

#ifndef HISTORY_TASK_ANSWER_H_
#define HISTORY_TASK_ANSWER_H_

#include <cstdint>
#include <string>

namespace azurespur::history {

struct TaskAnswer {
  int64_t time_ms = 0;
  std::string task;
  bool accepted = false;
  bool not_run = false;
  bool non_idempotent = false;
};

}  // namespace azurespur::history

#endif  // HISTORY_TASK_ANSWER_H_
