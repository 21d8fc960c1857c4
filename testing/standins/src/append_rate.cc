#include "standins/append_rate.h"

#include <algorithm>

namespace azurespur::standins {

namespace {

constexpr double kBurstSeconds = 0.2;

}  // namespace

AppendRate::AppendRate(double appends_per_second, base::MonoTime now)
    : m_rate(appends_per_second),
      m_burst(std::max(1.0, appends_per_second * kBurstSeconds)),
      m_tokens(m_burst),
      m_filled_at(now) {}

bool AppendRate::Take(base::MonoTime now) {
  const std::chrono::duration<double> passed = now - m_filled_at;
  m_filled_at = now;
  m_tokens = std::min(m_burst, m_tokens + passed.count() * m_rate);
  if (m_tokens < 1) {
    return false;
  }
  m_tokens -= 1;
  return true;
}

}  // namespace azurespur::standins
