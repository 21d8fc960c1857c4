// Measures how fast this VM computes, so that the leader can tell that others
// are faster.

#ifndef CELL_SRC_SPEED_PROBE_H_
#define CELL_SRC_SPEED_PROBE_H_

#include <span>

#include "base/clock.h"

namespace azurespur::cell {

// Microseconds that a fixed small computation took: the least of a few tries,
// so that being interrupted once does not count.
double MeasureWorkMicros(const base::Clock& clock);

// The middle one of the last few measurements.
class SpeedProbe {
 public:
  void Add(double work_micros);

  // 0 until there were enough measurements.
  double WorkMicros() const;

 private:
  static constexpr size_t kWindowSize = 3;

  double m_window[kWindowSize] = {};
  size_t m_count = 0;
};

// True if some VM of `others` is so much faster than `own` that work should
// move there. Zeros are unknown.
bool AnyMuchFaster(double own, std::span<const double> others);

}  // namespace azurespur::cell

#endif  // CELL_SRC_SPEED_PROBE_H_
