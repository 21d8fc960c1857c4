// The workers that can take single tasks of one step, found with one look at
// each worker, and the choice among them. Does no I/O and reads no clock.

#ifndef JOBS_SRC_STEP_CANDIDATES_H_
#define JOBS_SRC_STEP_CANDIDATES_H_

#include <cstddef>
#include <cstdint>
#include <limits>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "jobs/fleet.h"
#include "placement/resources.h"

namespace azurespur::jobs {

// A worker on which a task of the step fits now.
struct StepCandidate {
  const Worker* worker = nullptr;
  placement::Resources free;  // Available to the step.
  int64_t tasks_left = 0;     // Limit of the step on one worker.
  bool far = false;           // Not in the rack that the step prefers.
  double speed_penalty = 0;   // See SpeedPenalty().
  double score = 0;           // Less is better; without the task's failures.
};

class StepCandidates {
 public:
  static constexpr size_t kNone = std::numeric_limits<size_t>::max();

  // Candidates must be added in ascending order of their ids.
  void Add(const StepCandidate& candidate);

  // Returns the index of the best worker for a task that last failed on
  // `failed_worker`, or kNone. Best fit: prefers the worker with the least free
  // capacity, in the preferred rack if possible, and avoids workers with recent
  // failures. A worker that is fast enough, and of these the slowest, is
  // preferred first.
  size_t FindBest(std::string_view failed_worker) const;

  const Worker& WorkerAt(size_t index) const {
    return *m_candidates[index].worker;
  }

  // To be called once a task with this demand is bound to the worker.
  void OnBound(size_t index,
               const placement::Resources& demand,
               base::MonoTime now);

 private:
  std::vector<StepCandidate> m_candidates;
};

}  // namespace azurespur::jobs

#endif  // JOBS_SRC_STEP_CANDIDATES_H_
