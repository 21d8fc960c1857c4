// One line of a worker's journal.

#ifndef STANDINS_TASK_EVENT_H_
#define STANDINS_TASK_EVENT_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "standins/task_spec.h"

namespace azurespur::standins {

struct TaskEvent {
  int64_t time_ms = 0;
  std::string_view worker;
  std::string_view event;   // start, release, throttle, end, restart, or
                            // capacity: the sizes of the worker itself.
  std::string_view reason;  // Of an end: finished, failed, stopped, lapsed,
                            // restart or down.
  const TaskSpec* task = nullptr;  // Null for a restart.
};

// The event as one JSON object without a line end.
std::string RenderTaskEvent(const TaskEvent& event);

}  // namespace azurespur::standins

#endif  // STANDINS_TASK_EVENT_H_
