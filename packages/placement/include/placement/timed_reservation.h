// Earliest time at which a waiting demand can start, and the room it needs
// then.

#ifndef PLACEMENT_TIMED_RESERVATION_H_
#define PLACEMENT_TIMED_RESERVATION_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "placement/cell.h"
#include "placement/running_tasks.h"
#include "placement/task_demand.h"

namespace azurespur::placement {

struct TimedReservation {
  std::string task;
  int64_t planned_ms = 0;
  int64_t start_ms = 0;
  // All members together.
  Resources size;
  std::vector<WorkerHold> holds;
};

// Assumes that running tasks end at ExpectedEnd() and that nothing is started
// but what the holds allow. Empty if no expected end makes enough room.
std::optional<TimedReservation> PlanReservation(const Cell& cell,
                                                const RunningTasks& running,
                                                const TaskDemand& demand,
                                                int64_t now_ms);

}  // namespace azurespur::placement

#endif  // PLACEMENT_TIMED_RESERVATION_H_
