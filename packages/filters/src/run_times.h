// Measured run times per plan. Estimates supplied by callers are not used.

#ifndef FILTERS_RUN_TIMES_H_
#define FILTERS_RUN_TIMES_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace azurespur::filters {

// Streaming estimate of one quantile in constant memory: exact for the first
// values, then adjusted by a small step per value. Adapts to a change of the
// distribution within tens of values.
class RunTimeQuantile {
 public:
  explicit RunTimeQuantile(double quantile) : m_quantile(quantile) {}

  void Observe(double value);
  double value() const { return m_value; }  // 0 before the first value.

 private:
  static constexpr size_t kExactSampleCount = 15;

  double m_quantile;
  double m_value = 0;
  size_t m_count = 0;  // At most kExactSampleCount.
  std::array<double, kExactSampleCount> m_samples{};  // Sorted.
};

struct RunTimeEstimate {
  uint64_t count = 0;
  double mean_ms = 0;  // Exponentially weighted.
  RunTimeQuantile median{0.5};
  RunTimeQuantile p95{0.95};
  double longest_ms = 0;  // Decays over hundreds of runs.
};

class RunTimes {
 public:
  void Observe(const std::string& plan, double ms);

  // Returns null before the first run of the plan.
  const RunTimeEstimate* Find(std::string_view plan) const;

  // Returns the plan's mean, or that of all plans if the plan has not run yet.
  double MeanMillis(std::string_view plan) const;

  // Returns the longest recent run of the plan, or of all plans if the plan has
  // not run yet.
  double LongestMillis(std::string_view plan) const;

  // Returns true if the plan's median run time is at least `limit_ms`. False
  // until the plan has enough runs.
  bool IsLongRunning(std::string_view plan, double limit_ms) const;

 private:
  std::map<std::string, RunTimeEstimate, std::less<>> m_plans;
  RunTimeEstimate m_all;
};

}  // namespace azurespur::filters

#endif  // FILTERS_RUN_TIMES_H_
