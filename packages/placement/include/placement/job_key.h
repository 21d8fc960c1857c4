// Identifies a job within a plan, the unit for which statistics are kept.

#ifndef PLACEMENT_JOB_KEY_H_
#define PLACEMENT_JOB_KEY_H_

#include <cstddef>
#include <functional>
#include <string>
#include <tuple>

namespace azurespur::placement {

struct JobKey {
  std::string plan;
  std::string job;

  friend bool operator==(const JobKey&, const JobKey&) = default;
  friend bool operator<(const JobKey& a, const JobKey& b) {
    return std::tie(a.plan, a.job) < std::tie(b.plan, b.job);
  }
};

struct JobKeyHash {
  size_t operator()(const JobKey& key) const {
    constexpr size_t kMultiplier = 0x9E3779B97F4A7C15;
    const size_t plan = std::hash<std::string>{}(key.plan);
    return (plan * kMultiplier) ^ std::hash<std::string>{}(key.job);
  }
};

}  // namespace azurespur::placement

#endif  // PLACEMENT_JOB_KEY_H_
