#include "fan_out_limit.h"

#include "base/link_rate.h"

namespace azurespur::cell {

namespace {

constexpr base::Millis kWindow{500};
// The rest is left to the log, the workers and heartbeats.
constexpr double kMaxShareOfLink = 0.5;
// Contents are sent again once they need less than this part of the limit. Each
// change leaves a gap that all peers read from the log.
constexpr double kResumeShareOfLimit = 0.7;
// Orders to workers wait behind the contents; followers can read the log.
constexpr base::Millis kMaxLinkWait{50};

}  // namespace

FanOutLimit::FanOutLimit(double link_mbps)
    : m_max_window_bytes(link_mbps * base::kBytesPerMillisPerMbps *
                         static_cast<double>(kWindow.count()) *
                         kMaxShareOfLink) {}

bool FanOutLimit::Allows(size_t bytes,
                         base::Micros link_wait,
                         base::MonoTime now) {
  if (m_max_window_bytes <= 0) {
    return true;
  }
  if (now >= m_window_end + kWindow) {
    m_window_bytes = 0;  // Nothing was due for a whole window.
  }
  if (now >= m_window_end) {
    m_exceeded =
        m_exceeded && m_window_bytes > m_max_window_bytes * kResumeShareOfLimit;
    m_window_bytes = 0;
    m_window_end = now + kWindow;
  }
  m_window_bytes += static_cast<double>(bytes);
  m_exceeded = m_exceeded || m_window_bytes > m_max_window_bytes ||
               link_wait > kMaxLinkWait;
  return !m_exceeded;
}

}  // namespace azurespur::cell
