// How well a task fits a worker.

#ifndef PLACEMENT_FIT_SCORE_H_
#define PLACEMENT_FIT_SCORE_H_

#include "placement/resources.h"

namespace azurespur::placement {

// Lower is a better fit. `size` must fit into `room`.
double FitScore(const Resources& size,
                const Resources& room,
                const Resources& capacity);

}  // namespace azurespur::placement

#endif  // PLACEMENT_FIT_SCORE_H_
