#include "run_times.h"

#include <algorithm>

namespace azurespur::filters {

namespace {

constexpr double kQuantileStep = 0.05;  // Relative move of one value.
constexpr double kMeanWeight = 0.02;    // Of the newest value.
constexpr uint64_t kEnoughRuns = 8;     // To tell a plan's length.
constexpr double kLeastMillis = 0.01;

void ObserveIn(RunTimeEstimate& estimate, double ms) {
  ++estimate.count;
  const double weight =
      std::max(kMeanWeight, 1.0 / static_cast<double>(estimate.count));
  estimate.mean_ms += weight * (ms - estimate.mean_ms);
  estimate.median.Observe(ms);
  estimate.p95.Observe(ms);
  estimate.p99.Observe(ms);
}

}  // namespace

void RunTimeQuantile::Observe(double value) {
  value = std::max(value, kLeastMillis);
  if (m_value == 0) {
    m_value = value;
  } else if (value > m_value) {
    m_value *= 1 + kQuantileStep * m_quantile;
  } else {
    m_value *= 1 - kQuantileStep * (1 - m_quantile);
  }
}

void RunTimes::Observe(const std::string& plan, double ms) {
  ObserveIn(m_plans[plan], ms);
  ObserveIn(m_all, ms);
}

const RunTimeEstimate* RunTimes::Find(std::string_view plan) const {
  const auto it = m_plans.find(plan);
  return it == m_plans.end() ? nullptr : &it->second;
}

double RunTimes::MeanMillis(std::string_view plan) const {
  const RunTimeEstimate* estimate = Find(plan);
  return estimate != nullptr ? estimate->mean_ms : m_all.mean_ms;
}

double RunTimes::NearlyAllMillis(std::string_view plan) const {
  const RunTimeEstimate* estimate = Find(plan);
  return (estimate != nullptr ? *estimate : m_all).p99.value();
}

bool RunTimes::IsLong(std::string_view plan, double limit_ms) const {
  const RunTimeEstimate* estimate = Find(plan);
  return estimate != nullptr && estimate->count >= kEnoughRuns &&
         estimate->median.value() >= limit_ms;
}

}  // namespace azurespur::filters
