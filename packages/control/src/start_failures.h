// Remembers which workers failed a task, and when it may be tried again.

#ifndef CONTROL_SRC_START_FAILURES_H_
#define CONTROL_SRC_START_FAILURES_H_

#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "base/clock.h"

namespace azurespur::control {

// A task that failed on a worker goes elsewhere, and waits longer after each
// failure: the first retry is at once, so that one bad worker delays nothing.
// Not thread-safe.
class StartFailures {
 public:
  void Record(const std::string& task,
              const std::string& worker,
              base::MonoTime now);

  // Forgets a task that ended.
  void Forget(const std::string& task) { m_tasks.erase(task); }

  // Workers that failed the task last, at most `kMostWorkers`.
  std::vector<std::string> WorkersThatFailed(const std::string& task) const;

  // Tasks whose wait is over; each is told once.
  std::vector<std::string> TakeDue(base::MonoTime now);

  // Whether the task has to wait for TakeDue().
  bool MustWait(const std::string& task, base::MonoTime now) const;

  static constexpr size_t kMostWorkers = 8;

 private:
  struct Failures {
    std::vector<std::string> workers;
    size_t count = 0;
    base::MonoTime retry_at{};
    bool waiting = false;
  };

  std::unordered_map<std::string, Failures> m_tasks;
};

}  // namespace azurespur::control

#endif  // CONTROL_SRC_START_FAILURES_H_
