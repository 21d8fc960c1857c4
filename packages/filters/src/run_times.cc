#include "run_times.h"

#include <algorithm>
#include <cmath>

namespace azurespur::filters {

namespace {

constexpr double kQuantileStep = 0.05;  // Relative step per value.
constexpr double kMeanWeight = 0.02;    // Least weight of the newest value.
constexpr double kLongestDecay = 0.999;
// Runs before a plan can count as long-running.
constexpr uint64_t kMinRunsToClassify = 8;
constexpr double kMinRunMillis = 0.01;

void AddSample(RunTimeEstimate& estimate, double ms) {
  ++estimate.count;
  const double weight =
      std::max(kMeanWeight, 1.0 / static_cast<double>(estimate.count));
  estimate.mean_ms += weight * (ms - estimate.mean_ms);
  estimate.median.Observe(ms);
  estimate.p95.Observe(ms);
  estimate.longest_ms = std::max(ms, estimate.longest_ms * kLongestDecay);
}

}  // namespace

void RunTimeQuantile::Observe(double value) {
  value = std::max(value, kMinRunMillis);
  if (m_count < kExactSampleCount) {
    m_samples[m_count++] = value;
    const auto end = m_samples.begin() + static_cast<std::ptrdiff_t>(m_count);
    std::sort(m_samples.begin(), end);
    m_value = m_samples[static_cast<size_t>(
        std::lround(m_quantile * static_cast<double>(m_count - 1)))];
    return;
  }
  if (value > m_value) {
    m_value *= 1 + kQuantileStep * m_quantile;
  } else {
    m_value *= 1 - kQuantileStep * (1 - m_quantile);
  }
}

void RunTimes::Observe(const std::string& plan, double ms) {
  AddSample(m_plans[plan], ms);
  AddSample(m_all, ms);
}

const RunTimeEstimate* RunTimes::Find(std::string_view plan) const {
  const auto it = m_plans.find(plan);
  return it == m_plans.end() ? nullptr : &it->second;
}

double RunTimes::MeanMillis(std::string_view plan) const {
  const RunTimeEstimate* estimate = Find(plan);
  return estimate != nullptr ? estimate->mean_ms : m_all.mean_ms;
}

double RunTimes::LongestMillis(std::string_view plan) const {
  const RunTimeEstimate* estimate = Find(plan);
  return (estimate != nullptr ? *estimate : m_all).longest_ms;
}

bool RunTimes::IsLongRunning(std::string_view plan, double limit_ms) const {
  const RunTimeEstimate* estimate = Find(plan);
  return estimate != nullptr && estimate->count >= kMinRunsToClassify &&
         estimate->median.value() >= limit_ms;
}

}  // namespace azurespur::filters
