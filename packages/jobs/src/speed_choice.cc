#include "speed_choice.h"

#include <algorithm>
#include <map>

#include "ready_step.h"

namespace azurespur::jobs {

namespace {

// Classes of speed outside these are treated alike.
constexpr int32_t kFastestClass = -3;
constexpr int32_t kSlowestClass = 6;
// Over all classes less than the penalty for another rack (2), and for each
// class less than the fit of an empty and a full worker differ (1).
constexpr double kPenaltyPerClass = 0.2;
// More than fit, rack and a recent failure together (1 + 2 + 1).
constexpr double kTooSlowPenalty = 5;
// Of the slack, what a slow worker may use up. The rest is for tasks that run
// longer than expected, and for repeated runs.
constexpr double kSlackForSlowness = 0.5;
// Work with a lower limit, which has less slack than a task's expected time,
// takes the fastest worker first.
constexpr double kTightSlowness = 1.5;
// Classes that a gang spans: within 20%, within 50%, or any.
constexpr int32_t kGangWidths[] = {2, 4, kSlowestClass - kFastestClass + 1};

int32_t ClassOf(const Worker& worker) {
  return std::clamp(worker.speed.speed_class, kFastestClass, kSlowestClass);
}

bool IsFastEnough(const Worker& worker, double max_slowness) {
  return worker.speed.slowness_bound <= max_slowness;
}

// Returns the classes of the slowest fast-enough workers that have the slots.
std::optional<std::pair<int32_t, int32_t>> FindGangClasses(
    const std::vector<WorkerSlots>& workers,
    int64_t slots,
    double max_slowness) {
  std::map<int32_t, int64_t> slots_of_class;
  for (const auto& [worker, count] : workers) {
    if (IsFastEnough(*worker, max_slowness)) {
      slots_of_class[ClassOf(*worker)] += count;
    }
  }
  for (const int32_t width : kGangWidths) {
    for (int32_t slowest = kSlowestClass; slowest >= kFastestClass; --slowest) {
      const int32_t fastest = slowest - width + 1;
      int64_t found = 0;
      for (auto it = slots_of_class.lower_bound(fastest);
           it != slots_of_class.end() && it->first <= slowest; ++it) {
        found += it->second;
      }
      if (found >= slots) {
        return std::pair(fastest, slowest);
      }
    }
  }
  return std::nullopt;
}

}  // namespace

double MaxSlowness(int64_t slack_ms, int64_t expected_ms) {
  return 1 + kSlackForSlowness * static_cast<double>(slack_ms) /
                 static_cast<double>(std::max<int64_t>(expected_ms, 1));
}

double SpeedPenalty(const Worker& worker, std::optional<double> max_slowness) {
  if (!max_slowness) {
    return 0;
  }
  const int32_t speed_class = ClassOf(worker);
  const double fastest_first = kPenaltyPerClass * (speed_class - kFastestClass);
  if (!IsFastEnough(worker, *max_slowness)) {
    return kTooSlowPenalty + fastest_first;
  }
  return *max_slowness < kTightSlowness
             ? fastest_first
             : kPenaltyPerClass * (kSlowestClass - speed_class);
}

void SortBySpeed(std::vector<WorkerSlots>& workers,
                 std::optional<double> max_slowness) {
  SortBySlots(workers);
  if (!max_slowness) {
    return;
  }
  std::stable_sort(workers.begin(), workers.end(),
                   [max_slowness](const auto& a, const auto& b) {
                     return SpeedPenalty(*a.first, max_slowness) <
                            SpeedPenalty(*b.first, max_slowness);
                   });
}

void SortForGang(std::vector<WorkerSlots>& workers,
                 int64_t slots,
                 std::optional<double> max_slowness) {
  SortBySlots(workers);
  if (!max_slowness) {
    return;
  }
  const auto classes = FindGangClasses(workers, slots, *max_slowness);
  if (!classes) {
    std::stable_sort(workers.begin(), workers.end(),
                     [](const auto& a, const auto& b) {
                       return ClassOf(*a.first) < ClassOf(*b.first);
                     });
    return;
  }
  std::stable_partition(workers.begin(), workers.end(), [&](const auto& entry) {
    const int32_t speed_class = ClassOf(*entry.first);
    return speed_class >= classes->first && speed_class <= classes->second &&
           IsFastEnough(*entry.first, *max_slowness);
  });
}

}  // namespace azurespur::jobs
