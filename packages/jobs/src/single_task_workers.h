// The workers that are considered for the single tasks of a step.

#ifndef JOBS_SRC_SINGLE_TASK_WORKERS_H_
#define JOBS_SRC_SINGLE_TASK_WORKERS_H_

#include <cstdint>
#include <utility>
#include <vector>

#include "jobs/fleet.h"
#include "step_candidates.h"

namespace azurespur::jobs {

struct SingleTaskWorkers {
  StepCandidates candidates;  // Eligible now.
  // With free capacity and the slots there, for advice queries.
  std::vector<std::pair<const Worker*, int64_t>> expired;
  std::vector<std::pair<const Worker*, int64_t>> unknown;
};

}  // namespace azurespur::jobs

#endif  // JOBS_SRC_SINGLE_TASK_WORKERS_H_
