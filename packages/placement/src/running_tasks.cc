#include "placement/running_tasks.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace azurespur::placement {

int64_t ExpectedEnd(const RunningTask& task, int64_t now_ms) {
  if (task.task_class == TaskClass::kService || task.run_bound_ms <= 0) {
    return std::numeric_limits<int64_t>::max();
  }
  const int64_t bound = task.started_ms + task.run_bound_ms;
  if (bound > now_ms) {
    return bound;
  }
  return now_ms + std::max<int64_t>(now_ms - task.started_ms, 1);
}

void RunningTasks::Add(RunningTask task) {
  Remove(task.id);
  std::string id = task.id;
  const auto added = m_tasks.emplace(std::move(id), std::move(task)).first;
  const RunningTask* stored = &added->second;
  for (const std::string& worker : stored->workers) {
    std::vector<const RunningTask*>& tasks = m_by_worker[worker];
    // If an earlier member runs on this worker, the task is the last entry,
    // because no other task is added in this loop.
    if (tasks.empty() || tasks.back() != stored) {
      tasks.push_back(stored);
    }
  }
}

bool RunningTasks::Remove(std::string_view id) {
  const auto found = m_tasks.find(id);
  if (found == m_tasks.end()) {
    return false;
  }
  const RunningTask* stored = &found->second;
  for (const std::string& worker : stored->workers) {
    const auto tasks = m_by_worker.find(worker);
    if (tasks == m_by_worker.end()) {
      continue;
    }
    std::erase(tasks->second, stored);
    if (tasks->second.empty()) {
      m_by_worker.erase(tasks);
    }
  }
  m_tasks.erase(found);
  return true;
}

const RunningTask* RunningTasks::Find(std::string_view id) const {
  const auto found = m_tasks.find(id);
  return found == m_tasks.end() ? nullptr : &found->second;
}

std::span<const RunningTask* const> RunningTasks::OnWorker(
    std::string_view worker) const {
  const auto found = m_by_worker.find(worker);
  if (found == m_by_worker.end()) {
    return {};
  }
  return found->second;
}

}  // namespace azurespur::placement
