// Latencies in buckets that double, and exact quantiles.

#ifndef CLI_LATENCY_HISTOGRAM_H_
#define CLI_LATENCY_HISTOGRAM_H_

#include <cstddef>
#include <iosfwd>
#include <nlohmann/json_fwd.hpp>
#include <vector>

namespace azurespur::cli {

class LatencyHistogram {
 public:
  void Add(double millis) { m_values.push_back(millis); }

  size_t count() const { return m_values.size(); }

  // The value below which the fraction `quantile` lies; 0 if empty.
  double Quantile(double quantile) const;

  // Quantiles and buckets.
  nlohmann::json ToJson() const;

  // One line of quantiles, then one a bucket with a bar.
  void Print(std::ostream& out) const;

 private:
  struct Bucket {
    double upper_ms = 0;
    size_t count = 0;
  };

  std::vector<Bucket> Buckets() const;

  std::vector<double> m_values;
};

}  // namespace azurespur::cli

#endif  // CLI_LATENCY_HISTOGRAM_H_
