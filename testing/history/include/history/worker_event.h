// One line of a worker's journal.

#ifndef HISTORY_WORKER_EVENT_H_
#define HISTORY_WORKER_EVENT_H_

#include <cstdint>
#include <string>

namespace azurespur::history {

struct WorkerEvent {
  int64_t time_ms = 0;
  std::string worker;
  std::string event;   // capacity, start, release, throttle, end or restart.
  std::string reason;  // Of an end.
  std::string run;     // Id on the worker: TASK~ATTEMPT~MEMBER for a task.
  int64_t cpu_millis = 0;
  int64_t memory_mb = 0;
  int64_t accelerators = 0;
};

}  // namespace azurespur::history

#endif  // HISTORY_WORKER_EVENT_H_
