#include "jobs/worker_speeds.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace azurespur::jobs {

namespace {

// A spread close to the limit doesn't switch the use of speeds on and off.
constexpr double kShareOfLimitToStop = 0.9;
// Of the logarithm of the slowness, before the first run: speeds of 0.75 to
// 1.35 times the median lie within one standard deviation.
constexpr double kPriorVariance = 0.09;
// Growth of the variance per second. An estimate without new runs returns to
// the prior's uncertainty in about a minute.
constexpr double kDriftPerSecond = 0.0015;
// After a restart, and after a change of speed.
constexpr double kChangedVariance = 0.05;
// An estimate with less variance counts as known (15% of the speed).
constexpr double kKnownVariance = 0.0225;

constexpr double kMinNoiseVariance = 0.0025;
constexpr double kMaxNoiseVariance = 0.5;
// Weight of one run in the estimate of the noise: some hundred runs of all
// workers together.
constexpr double kNoiseGain = 0.005;
// Innovations are clipped at this many standard deviations.
constexpr double kClipDeviations = 2;
// A single innovation beyond `kOutlierDeviations` is taken for a task's long
// tail and clipped more strictly.
constexpr double kOutlierDeviations = 3;
constexpr double kOutlierClipDeviations = 0.5;
// Three innovations in a row beyond this, with one sign, show a change of the
// worker's speed: normal noise alone gives 6 in 10,000.
constexpr double kLargeDeviations = 1.5;
constexpr int32_t kLargeInRow = 3;
// Variance of a median of normal values over that of their mean.
constexpr double kMedianVarianceFactor = 1.57;

constexpr double kSlowQuantile = 0.9;
constexpr double kFastQuantile = 0.1;

double VarianceAt(double variance, base::MonoTime since, base::MonoTime now) {
  const auto ms = static_cast<double>(base::MillisBetween(since, now));
  const double grown = variance + kDriftPerSecond * std::max(ms, 0.0) / 1000;
  return std::min(grown, std::max(variance, kPriorVariance));
}

// Sorts `values` partly.
double Quantile(std::vector<double>& values, double quantile) {
  const auto index =
      static_cast<size_t>(quantile * static_cast<double>(values.size() - 1));
  const auto at = values.begin() + static_cast<std::ptrdiff_t>(index);
  std::nth_element(values.begin(), at, values.end());
  return *at;
}

}  // namespace

WorkerSpeeds::State& WorkerSpeeds::Touch(std::string_view worker,
                                         base::MonoTime now) {
  const auto found = m_workers.find(worker);
  if (found != m_workers.end()) {
    State& state = found->second;
    m_recency.splice(m_recency.begin(), m_recency, state.recency);
    state.variance = VarianceAt(state.variance, state.observed_at, now);
    state.observed_at = now;
    return state;
  }
  if (m_workers.size() >= kMaxWorkers) {
    m_workers.erase(m_recency.back());
    m_recency.pop_back();
  }
  m_recency.emplace_front(worker);
  State& state = m_workers[m_recency.front()];
  state.variance = kPriorVariance;
  state.observed_at = now;
  state.recency = m_recency.begin();
  return state;
}

void WorkerSpeeds::Observe(std::string_view worker,
                           double log_ratio,
                           size_t siblings,
                           base::MonoTime now) {
  if (siblings == 0 || !std::isfinite(log_ratio)) {
    return;
  }
  State& state = Touch(worker, now);
  ++state.runs;
  const double noise =
      m_noise_variance *
      (1 + (siblings == 1
                ? 1.0
                : kMedianVarianceFactor / static_cast<double>(siblings)));
  const double innovation = log_ratio - state.mean;
  const double large = kLargeDeviations * std::sqrt(state.variance + noise);
  if (std::abs(innovation) <= large) {
    state.same_sign = 0;
  } else {
    const int32_t sign = innovation > 0 ? 1 : -1;
    state.same_sign =
        state.same_sign * sign > 0 ? state.same_sign + sign : sign;
  }
  if (std::abs(state.same_sign) >= kLargeInRow) {
    state.variance = std::max(state.variance, kChangedVariance);
  }
  const double total = state.variance + noise;
  const double deviation = std::sqrt(total);
  const bool outlier = std::abs(innovation) > kOutlierDeviations * deviation &&
                       std::abs(state.same_sign) < 2;
  const double limit =
      (outlier ? kOutlierClipDeviations : kClipDeviations) * deviation;
  const double clipped = std::clamp(innovation, -limit, limit);
  const double gain = state.variance / total;
  state.mean += gain * clipped;
  // Outliers count as large as others that are clipped.
  const double spread = std::clamp(innovation, -kClipDeviations * deviation,
                                   kClipDeviations * deviation);
  const double single =
      (spread * spread - state.variance) * m_noise_variance / noise;
  state.variance *= 1 - gain;
  m_noise_variance =
      std::clamp(m_noise_variance + kNoiseGain * (single - m_noise_variance),
                 kMinNoiseVariance, kMaxNoiseVariance);
}

void WorkerSpeeds::OnRestart(std::string_view worker) {
  const auto found = m_workers.find(worker);
  if (found != m_workers.end()) {
    found->second.variance = std::max(found->second.variance, kChangedVariance);
  }
}

void WorkerSpeeds::Refresh(base::MonoTime now) {
  std::vector<double> known;
  for (const auto& [id, state] : m_workers) {
    if (VarianceAt(state.variance, state.observed_at, now) <= kKnownVariance) {
      known.push_back(state.mean);
    }
  }
  m_spread = {known.size(), 1};
  if (known.size() < 2) {
    m_differ = false;
    return;
  }
  m_spread.ratio =
      std::exp(Quantile(known, kSlowQuantile) - Quantile(known, kFastQuantile));
  m_differ = SpreadIsWide();
  // Ratios to siblings leave the common level of all estimates undetermined.
  const double median = Quantile(known, 0.5);
  for (auto& [id, state] : m_workers) {
    state.mean -= median;
  }
}

bool WorkerSpeeds::SpreadIsWide() const {
  const double limit =
      m_min_spread_ratio * (m_differ ? kShareOfLimitToStop : 1);
  return m_spread.workers >= kMinKnownWorkers && m_spread.ratio > limit;
}

WorkerSpeed WorkerSpeeds::Find(std::string_view worker,
                               base::MonoTime now) const {
  const auto found = m_workers.find(worker);
  if (found == m_workers.end()) {
    return {0, std::sqrt(kPriorVariance), 0};
  }
  const State& state = found->second;
  return {state.mean,
          std::sqrt(VarianceAt(state.variance, state.observed_at, now)),
          state.runs};
}

double WorkerSpeeds::noise() const {
  return std::sqrt(m_noise_variance);
}

}  // namespace azurespur::jobs
