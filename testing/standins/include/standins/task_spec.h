// A task as a worker is asked to start it.

#ifndef STANDINS_TASK_SPEC_H_
#define STANDINS_TASK_SPEC_H_

#include <cstdint>
#include <string>

namespace azurespur::standins {

struct TaskSpec {
  std::string id;
  int64_t cpu_millis = 0;
  int64_t memory_mb = 0;
  int64_t accelerators = 0;
  int64_t lease_ms = 0;
  bool throttled = false;
  std::string payload;
};

}  // namespace azurespur::standins

#endif  // STANDINS_TASK_SPEC_H_
