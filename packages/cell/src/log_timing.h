// Derives append timeouts from the current latency of the log.

#ifndef CELL_SRC_LOG_TIMING_H_
#define CELL_SRC_LOG_TIMING_H_

#include "base/clock.h"

namespace azurespur::cell {

class LogTiming {
 public:
  // `min_timeout` is the lower bound of AppendTimeout().
  explicit LogTiming(base::Millis min_timeout) : m_min_timeout(min_timeout) {}

  // The log answered after `elapsed`.
  void AddLatency(base::Millis elapsed) { m_last = elapsed; }

  // Grows with the latency, so that a slow response isn't taken for a lost one.
  base::Millis AppendTimeout() const;

  // True if the log is so slow that appends queue up in it.
  bool IsSlow() const { return AppendTimeout() > m_min_timeout; }

 private:
  const base::Millis m_min_timeout;
  base::Millis m_last{0};
};

}  // namespace azurespur::cell

#endif  // CELL_SRC_LOG_TIMING_H_
