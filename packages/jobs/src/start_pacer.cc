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
// Two appends of a leader, one in flight and the next, less a fifth for other
// records. With more, records of urgent steps would wait for a third append.
constexpr int64_t kMaxLimitInSlowLog = 832;
constexpr int64_t kMaxBoundInAppend = kMaxLimitInSlowLog / 2;
// A binding waits for the append in flight, then for its own.
constexpr int64_t kAppendsPerBinding = 2;
// Change of the limit in one update.
constexpr double kMinFactor = 0.5;
constexpr double kMaxFactor = 1.15;

}  // namespace

void StartPacer::BeginPlan(int64_t outstanding) {
  m_outstanding = outstanding;
}

bool StartPacer::MayBind(bool urgent) {
  const bool allowed = urgent ? m_outstanding < 2 * limit()
                              : m_outstanding < limit() &&
                                    m_bound_since_append < kMaxBoundInAppend;
  m_was_limited = m_was_limited || !allowed;
  return allowed;
}

// Starts leave at the same rate whatever the log takes, so as many more may be
// outstanding as leave while a binding is being stored. The limit allows
// `m_limit` starts in each kTargetStartTime.
int64_t StartPacer::limit() const {
  const double storing_time =
      static_cast<double>((kAppendsPerBinding * m_append_time).count());
  const double in_log =
      m_limit * storing_time / static_cast<double>(kTargetStartTime.count());
  return std::min(static_cast<int64_t>(m_limit + in_log), kMaxLimitInSlowLog);
}

// Rises in steps: the bindings that fill a limit which rose at once would need
// more than one append.
void StartPacer::OnAppend(base::Micros took) {
  const base::Micros time = std::max(took, base::Micros{0});
  m_bound_since_append = 0;
  m_append_time = std::min(time, (m_append_time + time) / 2);
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
