// Streaming summary of observed values.

#ifndef BASE_DISTRIBUTION_H_
#define BASE_DISTRIBUTION_H_

// extended_p_square_quantile.hpp uses std::ostringstream without including it.
#include <sstream>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <cstdint>
#include <mutex>

namespace azurespur::base {

struct DistributionSummary {
  uint64_t count = 0;
  double sum = 0;
  double max = 0;
  double p50 = 0;
  double p99 = 0;
  double p999 = 0;
};

// Quantiles are estimated by the extended P-square algorithm (Raatikainen
// 1987) in constant memory. Thread-safe.
class Distribution {
 public:
  Distribution();

  void Observe(double value);
  DistributionSummary Summary() const;

 private:
  using Accumulator = boost::accumulators::accumulator_set<
      double,
      boost::accumulators::stats<
          boost::accumulators::tag::count,
          boost::accumulators::tag::sum,
          boost::accumulators::tag::max,
          boost::accumulators::tag::extended_p_square_quantile>>;

  mutable std::mutex m_mutex;
  Accumulator m_accumulator;
};

}  // namespace azurespur::base

#endif  // BASE_DISTRIBUTION_H_
