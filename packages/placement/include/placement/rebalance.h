// Proposals to move running work off workers that are leaving.

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

// One task to move whole: checkpoint it where it can be, stop it, and start it
// on `to`, which has one worker for each member.
struct TaskMove {
  std::string task;
  std::string from;
  std::vector<std::string> to;
  bool checkpoint = false;
  // The plan of the task wants moves approved.
  bool needs_approval = false;
};

struct MovePolicy {
  size_t max_moves = 0;
  // Work that ends by itself before this is left to end.
  int64_t skip_if_ends_by_ms = 0;
};

// Moves for tasks on leaving workers, services first, since they never end by
// themselves. Each move has room besides the others.
std::vector<TaskMove> PlanMoves(
    const Cell& cell,
    const RunningTasks& running,
    const MovePolicy& policy,
    const std::function<bool(std::string_view plan)>& needs_approval,
    int64_t now_ms);

}  // namespace azurespur::placement

#endif  // PLACEMENT_REBALANCE_H_
