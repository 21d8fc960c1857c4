// GCC 12 reports a member of Boost's quantile accumulator as uninitialized; it
// is assigned before its first use.
#pragma GCC diagnostic ignored "-Wmaybe-uninitialized"

#include "base/distribution.h"

#include <array>

namespace azurespur::base {

namespace acc = boost::accumulators;

namespace {

constexpr std::array<double, 5> kProbabilities = {0.1, 0.5, 0.9, 0.99, 0.999};

}  // namespace

Distribution::Distribution()
    : m_accumulator(acc::extended_p_square_probabilities = kProbabilities) {}

void Distribution::Observe(double value) {
  std::lock_guard<std::mutex> lock(m_mutex);
  m_accumulator(value);
}

DistributionSummary Distribution::Summary() const {
  std::lock_guard<std::mutex> lock(m_mutex);
  DistributionSummary summary;
  summary.count = acc::count(m_accumulator);
  if (summary.count == 0) {
    return summary;
  }
  summary.sum = acc::sum(m_accumulator);
  summary.max = acc::max(m_accumulator);
  summary.p50 = acc::quantile(m_accumulator, acc::quantile_probability = 0.5);
  summary.p99 = acc::quantile(m_accumulator, acc::quantile_probability = 0.99);
  summary.p999 =
      acc::quantile(m_accumulator, acc::quantile_probability = 0.999);
  return summary;
}

}  // namespace azurespur::base
