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
struct GangSite {
  const Worker* worker = nullptr;
  placement::Resources room;  // Free for the gang now.
  int64_t most_slots = 0;     // Of its members, whatever the room.
};

struct GangNeed {
  placement::Resources demand;  // Of each member.
  int64_t members = 0;
  int32_t priority = 0;  // Only runs of a higher number are stopped.
};

// Members that a worker will hold once its victims have stopped.
struct SitePlan {
  const Worker* worker = nullptr;
  int64_t slots = 0;
  std::vector<TaskRef> victims;
};

// Covers all members with as little stopped work as a greedy choice finds.
// Victims lose no work: they have saved it or do so when stopped. Empty if
// there is no room even so.
std::vector<SitePlan> PlanGangPreemption(std::span<const GangSite> sites,
                                         const GangNeed& need);

}  // namespace azurespur::jobs

#endif  // JOBS_SRC_GANG_PREEMPTION_H_
