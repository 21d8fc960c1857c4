// Which running tasks to stop so that a gang gets room. No I/O, no clock.

#ifndef JOBS_SRC_GANG_PREEMPTION_H_
#define JOBS_SRC_GANG_PREEMPTION_H_

#include <cstdint>
#include <span>
#include <string>
#include <vector>

#include "jobs/fleet.h"
#include "jobs/task_ref.h"
#include "placement/resources.h"

namespace azurespur::jobs {

// A worker that the gang may use.
struct PreemptionCandidate {
  const Worker* worker = nullptr;
  placement::Resources free;  // Free for the gang now.
  int64_t max_slots = 0;      // Of its members, whatever the room.
};

struct GangRequest {
  placement::Resources demand;  // Of each member.
  int64_t members = 0;
  int32_t priority = 0;  // Only runs of a higher number are stopped.
};

// Members that a worker will hold once its victims have stopped.
struct WorkerPreemption {
  const Worker* worker = nullptr;
  int64_t slots = 0;
  std::vector<TaskRef> victims;
};

// Covers all members with as little stopped work as a greedy choice finds.
// Victims lose no work: they have saved it or do so when stopped. Empty if
// there is no room even so.
std::vector<WorkerPreemption> PlanGangPreemption(
    std::span<const PreemptionCandidate> candidates,
    const GangRequest& request);

}  // namespace azurespur::jobs

#endif  // JOBS_SRC_GANG_PREEMPTION_H_
