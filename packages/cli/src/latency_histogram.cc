#include "latency_histogram.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>
#include <ostream>
#include <string>

namespace azurespur::cli {

namespace {

constexpr double kFirstUpperMs = 1;
constexpr size_t kBarWidth = 40;

// Three significant places are enough to read.
std::string Text(double millis) {
  constexpr double kPrecision = 1000;
  return nlohmann::json(std::round(millis * kPrecision) / kPrecision).dump();
}

}  // namespace

double LatencyHistogram::Quantile(double quantile) const {
  if (m_values.empty()) {
    return 0;
  }
  std::vector<double> sorted = m_values;
  const size_t place = std::min(
      sorted.size() - 1,
      static_cast<size_t>(quantile * static_cast<double>(sorted.size())));
  std::nth_element(sorted.begin(),
                   sorted.begin() + static_cast<std::ptrdiff_t>(place),
                   sorted.end());
  return sorted[place];
}

std::vector<LatencyHistogram::Bucket> LatencyHistogram::Buckets() const {
  std::vector<Bucket> buckets = {{kFirstUpperMs, 0}};
  for (const double value : m_values) {
    while (value >= buckets.back().upper_ms) {
      buckets.push_back({buckets.back().upper_ms * 2, 0});
    }
    const auto bucket = std::find_if(
        buckets.begin(), buckets.end(),
        [value](const Bucket& other) { return value < other.upper_ms; });
    ++bucket->count;
  }
  return buckets;
}

nlohmann::json LatencyHistogram::ToJson() const {
  nlohmann::json buckets = nlohmann::json::array();
  for (const Bucket& bucket : Buckets()) {
    buckets.push_back({{"below_ms", bucket.upper_ms}, {"count", bucket.count}});
  }
  return {{"count", count()},         {"p50_ms", Quantile(0.5)},
          {"p99_ms", Quantile(0.99)}, {"p999_ms", Quantile(0.999)},
          {"max_ms", Quantile(1)},    {"buckets", std::move(buckets)}};
}

void LatencyHistogram::Print(std::ostream& out) const {
  out << "  p50 " << Text(Quantile(0.5)) << " ms, p99 " << Text(Quantile(0.99))
      << " ms, p99.9 " << Text(Quantile(0.999)) << " ms, max "
      << Text(Quantile(1)) << " ms\n";
  const std::vector<Bucket> buckets = Buckets();
  size_t highest = 1;
  for (const Bucket& bucket : buckets) {
    highest = std::max(highest, bucket.count);
  }
  constexpr size_t kLabelWidth = 8;
  for (const Bucket& bucket : buckets) {
    std::string label = Text(bucket.upper_ms);
    label.insert(0, kLabelWidth - std::min(kLabelWidth, label.size()), ' ');
    out << "  <" << label << " ms  "
        << std::string(bucket.count * kBarWidth / highest, '#') << ' '
        << bucket.count << '\n';
  }
}

}  // namespace azurespur::cli
