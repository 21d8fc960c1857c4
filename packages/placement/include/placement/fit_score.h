// How well a task fits a worker.

#ifndef PLACEMENT_FIT_SCORE_H_
#define PLACEMENT_FIT_SCORE_H_

#include "placement/resources.h"

namespace azurespur::placement {

// Turns amounts into shares of one worker's capacity. 0 where it has none.
struct ShareScale {
  double cpu = 0;
  double memory = 0;
  double accelerators = 0;
};

ShareScale MakeShareScale(const Resources& capacity);

// Lower is a better fit. `size` must fit into `room`. The best fit leaves
// processors and memory free in the most equal shares, so that neither runs out
// beside a rest of the other; work with accelerators goes where fewest stay
// free, other work away from free accelerators.
//
// Inline, since a decision computes it for every worker with room.
inline double FitScore(const Resources& size,
                       const Resources& room,
                       const ShareScale& scale) {
  // Keeps work without accelerators off workers with free ones.
  constexpr double kStrandingPenalty = 10.0;
  const double room_imbalance =
      static_cast<double>(room.cpu_millis) * scale.cpu -
      static_cast<double>(room.memory_mb) * scale.memory;
  const double size_imbalance =
      static_cast<double>(size.cpu_millis) * scale.cpu -
      static_cast<double>(size.memory_mb) * scale.memory;
  // The change of the squared imbalance: squared, so that a large one is undone
  // before a small one.
  const double change = size_imbalance * (size_imbalance - 2 * room_imbalance);
  if (size.accelerators > 0) {
    return change + static_cast<double>(room.accelerators - size.accelerators) *
                        scale.accelerators;
  }
  return room.accelerators > 0 ? change + kStrandingPenalty : change;
}

}  // namespace azurespur::placement

#endif  // PLACEMENT_FIT_SCORE_H_
