// Run times seen for each plan; callers' claims play no part.

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
// values, then moved by a small step for each. Follows a change of the
// distribution within some tens of values.
class RunTimeQuantile {
 public:
  explicit RunTimeQuantile(double quantile) : m_quantile(quantile) {}

  void Observe(double value);
  double value() const { return m_value; }  // 0 before the first value.

 private:
  static constexpr size_t kExactSampleCount = 15;

  double m_quantile;
  double m_value = 0;
  size_t m_count = 0;  // Up to kExactSampleCount.
  std::array<double, kExactSampleCount> m_samples{};  // Sorted.
};

struct RunTimeEstimate {
  uint64_t count = 0;
  double mean_ms = 0;  // Exponentially weighted.
  RunTimeQuantile median{0.5};
  RunTimeQuantile p95{0.95};
  double longest_ms = 0;  // Forgotten over some hundreds of runs.
};

class RunTimes {
 public:
  void Observe(const std::string& plan, double ms);

  // Null before the first run.
  const RunTimeEstimate* Find(std::string_view plan) const;

  // Mean of all plans, for plans not seen yet.
  double MeanMillis(std::string_view plan) const;

  // Longest of the plan's recent runs.
  double LongestMillis(std::string_view plan) const;

  // True once the median run of the plan is at least `limit_ms`.
  bool IsLongRunning(std::string_view plan, double limit_ms) const;

 private:
  std::map<std::string, RunTimeEstimate, std::less<>> m_plans;
  RunTimeEstimate m_all;
};

}  // namespace azurespur::filters

#endif  // FILTERS_RUN_TIMES_H_
