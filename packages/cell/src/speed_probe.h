// Measures the CPU speed of this VM, so that the leader can detect that other
// VMs are faster.

#ifndef CELL_SRC_SPEED_PROBE_H_
#define CELL_SRC_SPEED_PROBE_H_

#include <span>

#include "base/clock.h"

namespace azurespur::cell {

// Returns the microseconds that a small fixed computation takes: the minimum of
// several runs, so that a single preemption doesn't count.
double MeasureWorkMicros(const base::Clock& clock);

// The median of the last measurements.
class SpeedProbe {
 public:
  void Add(double work_micros);

  // 0 until there are enough measurements.
  double WorkMicros() const;

 private:
  static constexpr size_t kWindowSize = 3;

  double m_window[kWindowSize] = {};
  size_t m_count = 0;
};

// True if some VM of `others` is so much faster than `own` that work should
// move there. Zero means unknown.
bool AnyMuchFaster(double own, std::span<const double> others);

}  // namespace azurespur::cell

#endif  // CELL_SRC_SPEED_PROBE_H_
