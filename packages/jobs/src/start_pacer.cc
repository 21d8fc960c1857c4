#include "jobs/start_pacer.h"

#include <algorithm>

#include "base/link_rate.h"

namespace azurespur::jobs {

namespace {

// Shorter than the timeout of an order, so that starts are answered in time.
constexpr base::Micros kTargetStartTime{200000};
constexpr base::Millis kUpdateInterval{100};
constexpr double kFirstLimit = 128;
// Starts at the lower limit keep a leader busy between two plans, even if a
// store or worker is slow. The upper one limits the starts that follow at once
// when a slow store recovers.
constexpr double kMinLimit = 64;
constexpr double kMaxLimit = 512;
// A start, the hold order that its end answers, and their packets' headers.
constexpr double kBytesPerStart = 1000;
// An append of a leader, less a fifth for other records.
constexpr int64_t kMaxBoundInAppend = 416;
// One in flight and the next. With more, records of urgent steps would wait for
// a third append.
constexpr int64_t kBatchesInSlowLog = 2;
// A binding waits for the append in flight, then for its own.
constexpr int64_t kAppendsPerBinding = 2;
// Starts that would find more before them wait for a later plan.
constexpr base::Millis kMaxLinkWait{100};
// Change of the limit in one update.
constexpr double kMinFactor = 0.5;
constexpr double kMaxFactor = 1.15;

// What the link carries while a start should take.
double MaxLimit(double link_mbps) {
  const double millis = static_cast<double>(kTargetStartTime / base::Millis{1});
  const double bytes = link_mbps * base::kBytesPerMillisPerMbps * millis;
  return link_mbps > 0 ? std::clamp(bytes / kBytesPerStart, 1.0, kMaxLimit)
                       : kMaxLimit;
}

}  // namespace

StartPacer::StartPacer(double link_mbps)
    : m_max_limit(MaxLimit(link_mbps)),
      m_limit(std::min(kFirstLimit, m_max_limit)) {}

void StartPacer::BeginPlan(int64_t outstanding) {
  m_outstanding = outstanding;
}

bool StartPacer::MayBind(bool urgent) {
  const int share = urgent ? 2 : 1;
  const bool fits_append = urgent || m_append_time == base::Micros{0} ||
                           m_bound_since_append < MaxBoundInAppend();
  const bool allowed =
      static_cast<double>(m_outstanding) < share * LimitNow() &&
      m_link_wait < share * kMaxLinkWait && fits_append;
  m_was_limited = m_was_limited || !allowed;
  return allowed;
}

// Starts leave at the same rate whatever the log takes, so as many more may be
// outstanding as leave while a binding is being stored. The limit allows
// `m_limit` starts in each kTargetStartTime.
double StartPacer::LimitNow() const {
  if (m_append_time == base::Micros{0}) {
    return m_limit;
  }
  const double storing_time =
      static_cast<double>((kAppendsPerBinding * m_append_time).count());
  const double in_log =
      m_limit * storing_time / static_cast<double>(kTargetStartTime.count());
  return std::min(m_limit + in_log,
                  static_cast<double>(kBatchesInSlowLog * MaxBoundInAppend()));
}

int64_t StartPacer::MaxBoundInAppend() const {
  return std::min(kMaxBoundInAppend, static_cast<int64_t>(2 * m_max_limit));
}

// Rises in steps: the bindings that fill a limit which rose at once would need
// more than one append.
void StartPacer::OnAppend(base::Micros took) {
  m_bound_since_append = 0;
  m_append_time = std::min(took, (m_append_time + took) / 2);
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
                         std::min(kMinLimit, m_max_limit), m_max_limit);
  }
  m_was_limited = false;
}

}  // namespace azurespur::jobs
