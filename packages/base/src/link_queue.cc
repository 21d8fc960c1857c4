#include "base/link_queue.h"

#include <algorithm>

#include "base/link_rate.h"

namespace azurespur::base {

namespace {

constexpr double kMicrosPerMilli = 1000;
// Longer queues don't form: what finds one is dropped or sent again, and the
// queue is then shorter than the bytes counted here.
constexpr Micros kMaxWait{2'000'000};

}  // namespace

LinkQueue::LinkQueue(double mbps, const Clock& clock)
    : m_micros_per_byte(
          mbps > 0 ? kMicrosPerMilli / (kBytesPerMillisPerMbps * mbps) : 0),
      m_clock(clock) {}

Micros LinkQueue::Add(size_t bytes) {
  const MonoTime now = m_clock.Now();
  const std::lock_guard<std::mutex> lock(m_mutex);
  const Micros wait = WaitAt(now);
  const double sending = m_micros_per_byte * static_cast<double>(bytes);
  const Micros total = wait + Micros{static_cast<int64_t>(sending)};
  m_free_at = now + std::min(total, kMaxWait);
  return wait;
}

Micros LinkQueue::Wait() const {
  const MonoTime now = m_clock.Now();
  const std::lock_guard<std::mutex> lock(m_mutex);
  return WaitAt(now);
}

Micros LinkQueue::WaitAt(MonoTime now) const {
  return std::max<Micros>(m_free_at - now, Micros{0});
}

}  // namespace azurespur::base
