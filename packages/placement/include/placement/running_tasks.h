// Running tasks of a cell, indexed by id and by worker.

#ifndef PLACEMENT_RUNNING_TASKS_H_
#define PLACEMENT_RUNNING_TASKS_H_

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "placement/resources.h"
#include "placement/string_hash.h"
#include "placement/task_demand.h"

namespace azurespur::placement {

struct RunningTask {
  std::string id;
  std::string plan;
  std::string job;
  TaskClass task_class = TaskClass::kBatch;
  bool urgent = false;
  bool checkpointable = false;
  int64_t rack_limit = 0;
  // Resources reserved per member.
  Resources size;
  // One worker id per member.
  std::vector<std::string> workers;
  int64_t started_ms = 0;
  // From RunTimeBound(). 0 means unknown.
  int64_t run_bound_ms = 0;
};

// Time by which `task` is expected to have ended. A task that exceeded its
// bound is expected to run for as long again as it has run so far. INT64_MAX if
// unknown.
int64_t ExpectedEnd(const RunningTask& task, int64_t now_ms);

// Not thread-safe.
class RunningTasks {
 public:
  RunningTasks() = default;
  RunningTasks(RunningTasks&&) = default;
  RunningTasks& operator=(RunningTasks&&) = default;

  // Replaces a task with the same id.
  void Add(RunningTask task);

  // Returns false if the id is unknown.
  bool Remove(std::string_view id);

  const RunningTask* Find(std::string_view id) const;

  // Tasks with at least one member on `worker`, without duplicates. The span is
  // invalidated by Add() and Remove().
  std::span<const RunningTask* const> OnWorker(std::string_view worker) const;

  size_t size() const { return m_tasks.size(); }

  template <typename Visitor>
  void ForEach(Visitor visit) const {
    for (const auto& [id, task] : m_tasks) {
      visit(task);
    }
  }

 private:
  StringMap<RunningTask> m_tasks;
  StringMap<std::vector<const RunningTask*>> m_by_worker;
};

}  // namespace azurespur::placement

#endif  // PLACEMENT_RUNNING_TASKS_H_
