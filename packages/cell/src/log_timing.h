// How long the log takes to answer now, and so how long to wait for it.

#ifndef CELL_SRC_LOG_TIMING_H_
#define CELL_SRC_LOG_TIMING_H_

#include "base/clock.h"

namespace azurespur::cell {

class LogTiming {
 public:
  // `min_timeout`: an append is never given up sooner.
  explicit LogTiming(base::Millis min_timeout) : m_min_timeout(min_timeout) {}

  // The log answered after `elapsed`.
  void AddLatency(base::Millis elapsed) { m_last = elapsed; }

  // A slow log gets more time, so that it isn't taken for a lost answer.
  base::Millis AppendTimeout() const;

  // The log is so slow that appends queue up there.
  bool IsSlow() const { return AppendTimeout() > m_min_timeout; }

 private:
  const base::Millis m_min_timeout;
  base::Millis m_last{0};
};

}  // namespace azurespur::cell

#endif  // CELL_SRC_LOG_TIMING_H_
