// Reserves room for a pending task at the earliest time at which it is expected
// to be able to start. Other tasks may be backfilled around the reservation.

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
  // Total over all members.
  Resources size;
  std::vector<WorkerHold> holds;
};

// Computes a reservation for `demand`. Assumes that running tasks end at
// ExpectedEnd() and that only tasks permitted by the holds are started. Empty
// if there is not enough room even after all expected task ends.
std::optional<TimedReservation> PlanReservation(const Cell& cell,
                                                const RunningTasks& running,
                                                const TaskDemand& demand,
                                                int64_t now_ms);

}  // namespace azurespur::placement

#endif  // PLACEMENT_TIMED_RESERVATION_H_
