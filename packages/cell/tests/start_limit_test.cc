// The rate of starts while the log or a part of the workers is slow, on a
// leader whose processor has time to spare, in virtual time.

#include <doctest/doctest.h>

#include <string>

#include "leader_simulation.h"

namespace azurespur::cell {

using base::Micros;
using base::Millis;

namespace {

constexpr int kWorkers = 350;
constexpr double kDemand = 740;  // Starts a second.
constexpr int64_t kTaskCpu = 10;
constexpr int32_t kTasksPerJob = 10;
// Most that a fault may take from the starts of what it does not concern.
constexpr double kLeastShare = 0.9;
constexpr Millis kUrgentInterval{100};
constexpr Millis kMaxUrgentDelay{1300};

struct StartRate {
  // A worker has room for so many tasks.
  explicit StartRate(int64_t room)
      : leader(kWorkers, FastProcessor(), kTaskCpu * room) {}

  LeaderSimulation leader;

  // Submits the demand, in tasks that take `task_time`, and some urgent ones.
  void Demand(Millis task_time, Millis time) {
    const base::MonoTime end = leader.now() + time;
    leader.Every(
        Micros{static_cast<int64_t>(1e6 * kTasksPerJob / kDemand)}, end,
        [this, task_time] { leader.Submit("batch", kTasksPerJob, task_time); });
    leader.Every(kUrgentInterval, end,
                 [this] { leader.Submit("urgent", 1, Millis{300}); });
  }

  // A failure domain of a quarter of the workers.
  static bool IsInDomain(int worker) { return worker % 4 == 0; }

  void CutDomain() {
    for (int i = 0; i < kWorkers; ++i) {
      if (IsInDomain(i)) {
        leader.silent.insert("w" + std::to_string(i));
      }
    }
  }

  // Starts so far at workers outside the domain, and, if `everywhere`, in it.
  int64_t CountStarts(bool everywhere) {
    int64_t count = 0;
    for (int i = 0; i < kWorkers; ++i) {
      if (everywhere || !IsInDomain(i)) {
        count += leader.starts["w" + std::to_string(i)];
      }
    }
    return count;
  }

  // Starts a second in the next `time`.
  double RateDuring(Millis time, bool everywhere) {
    const int64_t before = CountStarts(everywhere);
    leader.Run(time);
    return static_cast<double>(CountStarts(everywhere) - before) * 1000 /
           static_cast<double>(time.count());
  }

  Millis WorstUrgentDelay() const {
    Millis worst{0};
    for (const auto& [submitted, delay] : leader.urgent_start_delays) {
      worst = std::max(worst, delay);
    }
    return worst;
  }
};

}  // namespace

// Guards against a limit of what is bound ahead that a slow log fills: starts
// fell to the limit in the time of an append.
TEST_CASE("a slow log does not limit the rate of starts") {
  StartRate rate(30);
  LeaderSimulation& leader = rate.leader;
  leader.Run(Millis{1000});
  rate.Demand(Millis{60000}, Millis{12000});
  leader.Run(Millis{3000});
  leader.append_time = Millis{600};
  leader.Run(Millis{1800});
  const double slow = rate.RateDuring(Millis{4800}, true);
  CHECK(slow > kLeastShare * kDemand);
  CHECK(rate.WorstUrgentDelay() < kMaxUrgentDelay);
  CHECK(leader.released + leader.stopped + leader.lapsed == 0);
}

}  // namespace azurespur::cell
