#include "jobs/start_pacer.h"

#include <algorithm>

namespace azurespur::jobs {

namespace {

// Shorter than the timeout of an order, so that starts are answered in time.
constexpr base::Micros kTargetStartTime{200000};
constexpr base::Millis kUpdateInterval{100};
// Starts at the lower limit keep a leader busy between two plans, even if a
// store or worker is slow. The upper one limits the starts that follow at once
// when a slow store recovers.
constexpr double kMinLimit = 64;
constexpr double kMaxLimit = 512;
// Change of the limit in one update.
constexpr double kMinFactor = 0.5;
constexpr double kMaxFactor = 1.15;

}  // namespace

void StartPacer::BeginPlan(int64_t outstanding) {
  m_outstanding = outstanding;
}

bool StartPacer::MayBind(bool urgent) {
  const double limit = urgent ? 2 * m_limit : m_limit;
  const bool allowed = static_cast<double>(m_outstanding) < limit;
  m_was_limited = m_was_limited || !allowed;
  return allowed;
}

void StartPacer::OnAnswer(base::Micros took, base::MonoTime now) {
  m_sum += took;
  ++m_answers;
  if (now >= m_next_update) {
    m_next_update = now + kUpdateInterval;
    UpdateLimit();
  }
}

// The time that a start takes grows with the number of outstanding ones, so
// their ratio to the target is the factor that would meet it.
void StartPacer::UpdateLimit() {
  m_start_time = m_sum / m_answers;
  m_sum = base::Micros{0};
  m_answers = 0;
  const double factor =
      static_cast<double>(kTargetStartTime.count()) /
      static_cast<double>(std::max<int64_t>(m_start_time.count(), 1));
  if (factor < 1 || m_was_limited) {
    m_limit = std::clamp(m_limit * std::clamp(factor, kMinFactor, kMaxFactor),
                         kMinLimit, kMaxLimit);
  }
  m_was_limited = false;
}

}  // namespace azurespur::jobs
