#include "base/metrics.h"

#include <sstream>

namespace azurespur::base {

namespace {

// Adds `label` to a metric name that may already carry labels.
std::string WithLabel(std::string_view name, std::string_view label) {
  std::string result(name);
  if (!result.empty() && result.back() == '}') {
    result.back() = ',';
  } else {
    result += '{';
  }
  result += label;
  return result + '}';
}

std::string WithSuffix(std::string_view name, std::string_view suffix) {
  const size_t brace = name.find('{');
  std::string result(name.substr(0, brace));
  result += suffix;
  if (brace != std::string_view::npos) {
    result += name.substr(brace);
  }
  return result;
}

template <typename Map>
auto& FindOrMake(Map& map, std::string_view name) {
  auto it = map.find(name);
  if (it == map.end()) {
    using Metric = typename Map::mapped_type::element_type;
    it = map.emplace(std::string(name), std::make_unique<Metric>()).first;
  }
  return *it->second;
}

}  // namespace

Counter& Metrics::GetCounter(std::string_view name) {
  std::lock_guard<std::mutex> lock(m_mutex);
  return FindOrMake(m_counters, name);
}

Distribution& Metrics::GetDistribution(std::string_view name) {
  std::lock_guard<std::mutex> lock(m_mutex);
  return FindOrMake(m_distributions, name);
}

std::string Metrics::RenderText() const {
  std::lock_guard<std::mutex> lock(m_mutex);
  std::ostringstream out;
  for (const auto& [name, counter] : m_counters) {
    out << name << ' ' << counter->Get() << '\n';
  }
  for (const auto& [name, distribution] : m_distributions) {
    const DistributionSummary summary = distribution->Summary();
    out << WithLabel(name, "quantile=\"0.5\"") << ' ' << summary.p50 << '\n';
    out << WithLabel(name, "quantile=\"0.99\"") << ' ' << summary.p99 << '\n';
    out << WithLabel(name, "quantile=\"0.999\"") << ' ' << summary.p999 << '\n';
    out << WithSuffix(name, "_sum") << ' ' << summary.sum << '\n';
    out << WithSuffix(name, "_count") << ' ' << summary.count << '\n';
    out << WithSuffix(name, "_max") << ' ' << summary.max << '\n';
  }
  return out.str();
}

}  // namespace azurespur::base
