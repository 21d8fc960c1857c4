// One line of an executor's journal.

#ifndef HISTORY_EXECUTOR_EVENT_H_
#define HISTORY_EXECUTOR_EVENT_H_

#include <cstdint>
#include <string>

namespace azurespur::history {

struct ExecutorEvent {
  int64_t time_ms = 0;
  std::string executor;
  std::string event;    // receive, excess, refuse, begin or end.
  std::string sending;  // Id that the caller gave this sending.
  std::string key;      // From the request's body; names the caller's request.
};

}  // namespace azurespur::history

#endif  // HISTORY_EXECUTOR_EVENT_H_
