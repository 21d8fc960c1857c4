// Score of how well a task fits on a worker.

#ifndef PLACEMENT_FIT_SCORE_H_
#define PLACEMENT_FIT_SCORE_H_

#include "placement/resources.h"

namespace azurespur::placement {

// Factors that convert amounts to shares of a worker's capacity. 0 for a
// resource that the worker does not have.
struct ShareScale {
  double cpu = 0;
  double memory = 0;
  double accelerators = 0;
};

ShareScale MakeShareScale(const Resources& capacity);

// Lower scores are better fits. `size` must fit into `room`. The best fit
// leaves processors and memory free in the most equal shares, so that neither
// is stranded when the other is exhausted. Tasks with accelerators prefer the
// worker with the fewest accelerators left free; other tasks avoid workers with
// free accelerators.
//
// Inline because every placement decision computes it for each worker with
// room.
inline double FitScore(const Resources& size,
                       const Resources& room,
                       const ShareScale& scale) {
  // Keeps tasks without accelerators off workers with free accelerators.
  constexpr double kStrandingPenalty = 10.0;
  const double room_imbalance =
      static_cast<double>(room.cpu_millis) * scale.cpu -
      static_cast<double>(room.memory_mb) * scale.memory;
  const double size_imbalance =
      static_cast<double>(size.cpu_millis) * scale.cpu -
      static_cast<double>(size.memory_mb) * scale.memory;
  // Change of the squared imbalance. Squaring makes reducing a large imbalance
  // more valuable than reducing a small one.
  const double change = size_imbalance * (size_imbalance - 2 * room_imbalance);
  if (size.accelerators > 0) {
    return change + static_cast<double>(room.accelerators - size.accelerators) *
                        scale.accelerators;
  }
  return room.accelerators > 0 ? change + kStrandingPenalty : change;
}

}  // namespace azurespur::placement

#endif  // PLACEMENT_FIT_SCORE_H_
