// Spaces requests for records that another VM may not have. Reads no clock.

#ifndef CELL_SRC_REQUEST_PACER_H_
#define CELL_SRC_REQUEST_PACER_H_

#include <algorithm>
#include <cstdint>

#include "base/clock.h"

namespace azurespur::cell {

class RequestPacer {
 public:
  // True if records from `next` on should be requested now, which then counts
  // as done. Requests for the same offset become rarer.
  bool ShouldRequest(int64_t next, base::MonoTime now) {
    if (next != m_requested) {
      m_interval = kMinInterval;
    }
    if (now < m_last_request + m_interval) {
      return false;
    }
    m_interval = next == m_requested ? std::min(m_interval * 2, kMaxInterval)
                                     : kMinInterval;
    m_requested = next;
    m_last_request = now;
    return true;
  }

 private:
  static constexpr base::Millis kMinInterval{30};
  static constexpr base::Millis kMaxInterval{2000};

  int64_t m_requested = -1;  // Offset of the last request.
  base::Millis m_interval = kMinInterval;
  base::MonoTime m_last_request{};
};

}  // namespace azurespur::cell

#endif  // CELL_SRC_REQUEST_PACER_H_
