#include "standins/service_times.h"

#include <cmath>

namespace azurespur::standins {

namespace {

constexpr double kSigma = 0.3;  // Of the logarithm of the time.
constexpr double kMicrosPerMilli = 1000;

}  // namespace

ServiceTimes::ServiceTimes(const ServiceTimeOptions& options, uint64_t seed)
    : m_options(options), m_random(seed) {}

base::Micros ServiceTimes::Next() {
  std::normal_distribution<double> normal(0, kSigma);
  double millis = m_options.median_ms * std::exp(normal(m_random));
  if (Happens(m_options.straggler_share)) {
    millis *= m_options.straggler_factor;
  }
  return base::Micros(static_cast<int64_t>(millis * kMicrosPerMilli));
}

bool ServiceTimes::Happens(double share) {
  return std::uniform_real_distribution<double>(0, 1)(m_random) < share;
}

}  // namespace azurespur::standins
