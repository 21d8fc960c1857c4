// A leader that gets more work than its processor can do, in virtual time.

#include <doctest/doctest.h>

#include "leader_simulation.h"

namespace azurespur::cell {

using base::Micros;
using base::Millis;

namespace {

constexpr int kWorkers = 350;
constexpr int32_t kTasksPerJob = 10;
constexpr Millis kTaskTime{4000};
constexpr Millis kUrgentTaskTime{300};
constexpr Millis kUrgentInterval{100};

struct Crest {
  LeaderSimulation leader{kWorkers};
  // Tasks a second that the leader's processor can carry out.
  double capacity =
      1e6 / static_cast<double>(SimulationCosts().PerTask().count());

  // Submits `share` of the capacity for `time`.
  void Load(double share, Millis time) {
    const Micros interval{
        static_cast<int64_t>(1e6 * kTasksPerJob / (share * capacity))};
    leader.Every(interval, leader.now() + time - interval,
                 [this] { leader.Submit("batch", kTasksPerJob, kTaskTime); });
    leader.Run(time);
  }

  // Tasks done a second in `time`, as a share of the capacity.
  double ShareDoneDuring(double load_share, Millis time) {
    const int64_t before = leader.done;
    Load(load_share, time);
    return static_cast<double>(leader.done - before) * 1000 /
           static_cast<double>(time.count()) / capacity;
  }

  Millis WorstUrgentDelay(base::MonoTime from, base::MonoTime to) {
    Millis worst{0};
    for (const auto& [submitted, delay] : leader.urgent_start_delays) {
      if (submitted >= from && submitted < to) {
        worst = std::max(worst, delay);
      }
    }
    return worst;
  }
};

}  // namespace

// Guards against a leader that does less and less the more work waits for it,
// and that does not recover once the load is below its capacity again: a wave
// of 1.55 times the mean, then a burst of 1.8 times the wave for 4 s.
TEST_CASE(
    "a wave's crest plus a burst at 350 workers does not tip the leader") {
  Crest crest;
  LeaderSimulation& leader = crest.leader;
  constexpr double kMean = 0.65;
  leader.Run(Millis{1000});
  leader.Every(kUrgentInterval, leader.now() + Millis{26000},
               [&leader] { leader.Submit("urgent", 1, kUrgentTaskTime); });
  crest.Load(kMean, Millis{8000});
  crest.Load(1.55 * kMean, kTaskTime);
  const base::MonoTime burst = leader.now();
  CHECK(crest.ShareDoneDuring(1.55 * 1.8 * kMean, Millis{4000}) > 0.8);
  // Tasks that started in the burst end now.
  const base::MonoTime after = leader.now();
  CHECK(crest.ShareDoneDuring(kMean / 2, Millis{3000}) > 0.8);
  CHECK(leader.CountOutstanding() < 200);
  CHECK(crest.ShareDoneDuring(kMean / 2, kTaskTime) > 0.8);
  crest.Load(kMean / 2, Millis{4000});
  CHECK(crest.WorstUrgentDelay(burst, after) < Millis{1000});
  CHECK(crest.WorstUrgentDelay(after + Millis{3000}, leader.now()) <
        Millis{300});
  CHECK(leader.urgent_start_delays.size() >= 220);
  CHECK(leader.released + leader.stopped < 20);
  CHECK(leader.lapsed == 0);
}

// Guards against answers that are late because this VM is late: they must not
// count as missing, be followed by repeats and stops, and keep the leader from
// its other work after the VM computes at its usual speed again.
TEST_CASE("a leader that computes slowly for some seconds recovers at once") {
  for (int slowdown : {4, 10, 30}) {
    CAPTURE(slowdown);
    Crest crest;
    LeaderSimulation& leader = crest.leader;
    leader.Run(Millis{1000});
    leader.Every(kUrgentInterval, leader.now() + Millis{20000},
                 [&leader] { leader.Submit("urgent", 1, kUrgentTaskTime); });
    crest.Load(0.5, Millis{8000});
    leader.slowdown = slowdown;
    crest.Load(0.5, Millis{2000});
    leader.slowdown = 1;
    crest.Load(0.5, Millis{3000});
    CHECK(leader.CountOutstanding() < 200);
    const base::MonoTime recovered = leader.now();
    crest.Load(0.5, Millis{3000});
    CHECK(crest.WorstUrgentDelay(recovered, leader.now()) < Millis{300});
    CHECK(crest.ShareDoneDuring(0.5, Millis{3000}) > 0.45);
    CHECK(leader.released + leader.stopped < 20);
    CHECK(leader.lapsed == 0);
  }
}

}  // namespace azurespur::cell
