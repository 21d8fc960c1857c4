#include "jobs/own_delay.h"

#include <algorithm>

namespace azurespur::jobs {

namespace {

// Shorter delays happen on a VM that keeps up.
constexpr base::Millis kMinDelay{80};
// After a delay other orders that were sent before it are still answered late.
constexpr base::Millis kMinMemory{2000};

}  // namespace

void OwnDelay::Observe(base::MonoTime due, base::MonoTime now) {
  const base::Micros delay = now - due;
  if (delay < kMinDelay || (delay < m_longest && now < m_expires)) {
    return;
  }
  m_longest = delay;
  m_expires = now + std::max<base::Micros>(kMinMemory, delay);
}

base::Millis OwnDelay::Recent(base::MonoTime now) const {
  return now < m_expires ? std::chrono::duration_cast<base::Millis>(m_longest)
                         : base::Millis{0};
}

}  // namespace azurespur::jobs
