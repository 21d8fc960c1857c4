#include "arrivals.h"

namespace azurespur::cli {

namespace {

constexpr base::Micros kNever{INT64_MAX / 2};
constexpr double kMicrosPerSecond = 1e6;

}  // namespace

Arrivals::Arrivals(const ArrivalOptions& options)
    : m_options(options), m_random(options.seed) {}

base::Micros Arrivals::Next() {
  if (m_options.rate_per_s <= 0) {
    return kNever;
  }
  std::exponential_distribution<double> gap(RateAt(m_time));
  m_time +=
      base::Micros(static_cast<int64_t>(gap(m_random) * kMicrosPerSecond));
  return m_time;
}

double Arrivals::RateAt(base::Micros time) const {
  const base::Micros period = m_options.swing_period;
  const bool crest = (time % period) * 2 >= period;
  return m_options.rate_per_s * (crest ? m_options.swing : 1);
}

}  // namespace azurespur::cli
