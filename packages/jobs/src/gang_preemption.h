// Chooses the running tasks to stop so that a gang can be placed. Does no I/O
// and reads no clock.

#ifndef JOBS_SRC_GANG_PREEMPTION_H_
#define JOBS_SRC_GANG_PREEMPTION_H_

#include <cstdint>
#include <span>
#include <string>
#include <vector>

#include "base/clock.h"
#include "jobs/fleet.h"
#include "jobs/task_ref.h"
#include "placement/resources.h"

namespace azurespur::jobs {

// A worker that the gang may use.
struct PreemptionCandidate {
  const Worker* worker = nullptr;
  placement::Resources free;  // Capacity available to the gang now.
  int64_t max_slots = 0;      // Limit on members, regardless of capacity.
};

struct GangRequest {
  placement::Resources demand;  // Of each member.
  int64_t members = 0;
  int32_t priority = 0;  // Only runs with a higher number are stopped.
  base::MonoTime now{};
};

// The victims on one worker, and the members it can run once they have stopped.
struct WorkerPreemption {
  const Worker* worker = nullptr;
  int64_t slots = 0;
  std::vector<TaskRef> victims;
};

// Returns slots for all members, choosing victims greedily by their loss per
// slot gained: the CPU time since the start of a run that has reported no
// checkpoint, and the restart. Returns an empty list if even preemption yields
// too few slots.
std::vector<WorkerPreemption> PlanGangPreemption(
    std::span<const PreemptionCandidate> candidates,
    const GangRequest& request);

}  // namespace azurespur::jobs

#endif  // JOBS_SRC_GANG_PREEMPTION_H_
