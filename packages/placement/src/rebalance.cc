#include "placement/rebalance.h"

#include <algorithm>
#include <unordered_set>
#include <utility>

#include "placement/task_demand.h"

namespace azurespur::placement {
namespace {

struct MoveCandidate {
  const RunningTask* task = nullptr;
  std::string_view worker;
};

// Services first, then the tasks with the most memory, which are the hardest to
// place.
bool MovesBefore(const MoveCandidate& a, const MoveCandidate& b) {
  const bool a_service = a.task->task_class == TaskClass::kService;
  const bool b_service = b.task->task_class == TaskClass::kService;
  if (a_service != b_service) {
    return a_service;
  }
  if (a.task->size.memory_mb != b.task->size.memory_mb) {
    return a.task->size.memory_mb > b.task->size.memory_mb;
  }
  return a.task->id < b.task->id;
}

std::vector<MoveCandidate> CollectMoveCandidates(const Cell& cell,
                                                 const RunningTasks& running,
                                                 const MovePolicy& policy,
                                                 int64_t now_ms) {
  std::vector<MoveCandidate> candidates;
  std::unordered_set<const RunningTask*> seen;
  cell.ForEachWorker([&](const WorkerView& worker) {
    if (worker.condition != WorkerCondition::kLeaving) {
      return;
    }
    for (const RunningTask* task : running.OnWorker(worker.id)) {
      const bool ends_soon =
          ExpectedEnd(*task, now_ms) <= policy.skip_if_ends_by_ms;
      if (!ends_soon && seen.insert(task).second) {
        candidates.push_back({task, worker.id});
      }
    }
  });
  std::sort(candidates.begin(), candidates.end(), MovesBefore);
  return candidates;
}

TaskDemand DemandOf(const RunningTask& task) {
  TaskDemand demand;
  demand.id = task.id;
  demand.plan = task.plan;
  demand.job = task.job;
  demand.task_class = task.task_class;
  demand.gang_size = static_cast<int64_t>(task.workers.size());
  demand.rack_limit = task.rack_limit;
  demand.size = task.size;
  demand.urgent = task.urgent;
  return demand;
}

}  // namespace

std::vector<TaskMove> PlanMoves(
    const Cell& cell,
    const RunningTasks& running,
    const MovePolicy& policy,
    const std::function<bool(std::string_view plan)>& needs_approval,
    int64_t now_ms) {
  std::vector<TaskMove> moves;
  Cell scratch_cell = cell;
  for (const MoveCandidate& candidate :
       CollectMoveCandidates(cell, running, policy, now_ms)) {
    if (moves.size() >= policy.max_moves) {
      break;
    }
    const RunningTask& task = *candidate.task;
    Decision decision = scratch_cell.Place(DemandOf(task));
    auto* placement = std::get_if<Placement>(&decision);
    if (placement == nullptr || !scratch_cell.Reserve(*placement, task.size)) {
      continue;
    }
    moves.push_back({task.id, std::string(candidate.worker),
                     std::move(placement->workers), task.checkpointable,
                     needs_approval(task.plan)});
  }
  return moves;
}

}  // namespace azurespur::placement
