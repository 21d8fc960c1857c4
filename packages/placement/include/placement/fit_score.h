// How well a task fits a worker.

#ifndef PLACEMENT_FIT_SCORE_H_
#define PLACEMENT_FIT_SCORE_H_

#include "placement/resources.h"

namespace azurespur::placement {

// Lower is a better fit. `size` must fit into `room`. The best fit leaves
// processors and memory free in the most equal shares, so that neither runs out
// beside a rest of the other; work with accelerators goes where fewest stay
// free, other work away from free accelerators.
double FitScore(const Resources& size,
                const Resources& room,
                const Resources& capacity);

}  // namespace azurespur::placement

#endif  // PLACEMENT_FIT_SCORE_H_
