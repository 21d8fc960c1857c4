// Wall times of decisions and their quantiles.

#ifndef BENCH_PLACEMENT_TIMING_H_
#define BENCH_PLACEMENT_TIMING_H_

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <string_view>
#include <vector>

namespace azurespur::bench {

using WallTime = std::chrono::steady_clock::time_point;

inline double MicrosSince(WallTime start) {
  return std::chrono::duration<double, std::micro>(
             std::chrono::steady_clock::now() - start)
      .count();
}

// Sorts `values`. 0 if there are none.
inline double Quantile(std::vector<double>& values, double probability) {
  if (values.empty()) {
    return 0;
  }
  std::sort(values.begin(), values.end());
  const auto last = static_cast<double>(values.size() - 1);
  return values[static_cast<size_t>(last * probability)];
}

inline void PrintTarget(std::string_view text, bool met) {
  std::printf("target %.*s: %s\n", static_cast<int>(text.size()), text.data(),
              met ? "met" : "missed");
}

}  // namespace azurespur::bench

#endif  // BENCH_PLACEMENT_TIMING_H_
