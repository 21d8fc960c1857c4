// Decides whether the link of a leader carries the contents of the records that
// it announces to its peers.

#ifndef CELL_SRC_FAN_OUT_LIMIT_H_
#define CELL_SRC_FAN_OUT_LIMIT_H_

#include <cstddef>

#include "base/clock.h"

namespace azurespur::cell {

class FanOutLimit {
 public:
  // 0 if unknown: then there is no limit.
  explicit FanOutLimit(double link_mbps);

  // Notes that records are due, `bytes` in total to all peers. True if they may
  // be sent with their contents. What is sent now waits `link_wait` for the
  // link.
  bool Allows(size_t bytes, base::Micros link_wait, base::MonoTime now);

 private:
  const double m_max_window_bytes;
  double m_window_bytes = 0;
  base::MonoTime m_window_end{};
  bool m_exceeded = false;
};

}  // namespace azurespur::cell

#endif  // CELL_SRC_FAN_OUT_LIMIT_H_
