// Proposes moves of running tasks away from leaving workers.

#ifndef PLACEMENT_REBALANCE_H_
#define PLACEMENT_REBALANCE_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "placement/cell.h"
#include "placement/running_tasks.h"

namespace azurespur::placement {

// Moves a task with all its members: checkpoint it if possible, stop it, and
// start it on `to`, which has one worker id per member.
struct TaskMove {
  std::string task;
  std::string from;
  std::vector<std::string> to;
  bool checkpoint = false;
  // The plan of the task requires approval for moves.
  bool needs_approval = false;
};

struct MovePolicy {
  size_t max_moves = 0;
  // Tasks that are expected to end by this time are not moved.
  int64_t skip_if_ends_by_ms = 0;
};

// Plans moves for tasks on leaving workers, services first, because they do not
// end on their own. The targets have room for all planned moves together.
std::vector<TaskMove> PlanMoves(
    const Cell& cell,
    const RunningTasks& running,
    const MovePolicy& policy,
    const std::function<bool(std::string_view plan)>& needs_approval,
    int64_t now_ms);

}  // namespace azurespur::placement

#endif  // PLACEMENT_REBALANCE_H_
