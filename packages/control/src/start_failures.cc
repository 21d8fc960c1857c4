#include "start_failures.h"

#include <algorithm>

namespace azurespur::control {

namespace {

constexpr base::Millis kFirstWait{200};
constexpr base::Millis kLongestWait{30000};
constexpr size_t kMostDoublings = 8;

// Nothing after the first failure, then doubling up to `kLongestWait`.
base::Millis WaitAfter(size_t failures) {
  if (failures <= 1) {
    return base::Millis{0};
  }
  const size_t doublings = std::min(failures - 2, kMostDoublings);
  return std::min(kFirstWait * (int64_t{1} << doublings), kLongestWait);
}

}  // namespace

void StartFailures::Record(const std::string& task,
                           const std::string& worker,
                           base::MonoTime now) {
  Failures& failures = m_tasks[task];
  std::erase(failures.workers, worker);
  failures.workers.push_back(worker);
  if (failures.workers.size() > kMostWorkers) {
    failures.workers.erase(failures.workers.begin());
  }
  ++failures.count;
  failures.retry_at = now + WaitAfter(failures.count);
  failures.waiting = true;
}

std::vector<std::string> StartFailures::WorkersThatFailed(
    const std::string& task) const {
  const auto found = m_tasks.find(task);
  return found == m_tasks.end() ? std::vector<std::string>{}
                                : found->second.workers;
}

std::vector<std::string> StartFailures::TakeDue(base::MonoTime now) {
  std::vector<std::string> due;
  for (auto& [task, failures] : m_tasks) {
    if (failures.waiting && failures.retry_at <= now) {
      failures.waiting = false;
      due.push_back(task);
    }
  }
  std::sort(due.begin(), due.end());
  return due;
}

bool StartFailures::MustWait(const std::string& task,
                             base::MonoTime now) const {
  const auto found = m_tasks.find(task);
  return found != m_tasks.end() && found->second.waiting &&
         now < found->second.retry_at;
}

}  // namespace azurespur::control
