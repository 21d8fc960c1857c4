#include "log_timing.h"

#include <algorithm>

namespace azurespur::cell {

namespace {

constexpr int kTimeoutLatencyFactor = 6;
constexpr base::Millis kMaxTimeout{1500};

}  // namespace

base::Millis LogTiming::AppendTimeout() const {
  return std::clamp(m_last * kTimeoutLatencyFactor, m_min_timeout,
                    std::max(m_min_timeout, kMaxTimeout));
}

}  // namespace azurespur::cell
