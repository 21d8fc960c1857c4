// A leader whose own link carries less than the load asks for, in virtual time.

#include <doctest/doctest.h>

#include "leader_simulation.h"

namespace azurespur::cell {

using base::Micros;
using base::Millis;

namespace {

constexpr int kWorkers = 120;
constexpr int64_t kWorkerCpu = 1000;
constexpr int32_t kTasksPerJob = 10;
constexpr Millis kTaskTime{1000};
constexpr Millis kUrgentInterval{100};
// Urgent work starts within this time.
constexpr Millis kMaxUrgentDelay{1300};

SimulatedLink NarrowLink() {
  SimulatedLink link;
  link.mbps = 2;
  link.followers = 15;
  return link;
}

struct NarrowLeader {
  LeaderSimulation leader{kWorkers, FastProcessor(), kWorkerCpu, NarrowLink()};

  // Submits so many tasks a second for `time`.
  void Load(double rate, Millis time) {
    const Micros interval{static_cast<int64_t>(1e6 * kTasksPerJob / rate)};
    leader.Every(interval, leader.now() + time - interval,
                 [this] { leader.Submit("batch", kTasksPerJob, kTaskTime); });
    leader.Run(time);
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

// Guards against living workers that are taken for lost, and runs that are
// stopped, because orders wait for the leader's own link: a crest of twice what
// a link of 2 Mbit/s carries, with 15 followers that want the records.
TEST_CASE("a crest beyond the leader's link takes no living worker for lost") {
  NarrowLeader narrow;
  LeaderSimulation& leader = narrow.leader;
  leader.Run(Millis{1000});
  leader.Every(kUrgentInterval, leader.now() + Millis{18000},
               [&leader] { leader.Submit("urgent", 1, Millis{300}); });
  narrow.Load(80, Millis{5000});
  narrow.Load(300, Millis{5000});
  const int64_t before = leader.done;
  narrow.Load(20, Millis{8000});
  CHECK(leader.done - before > 800);
  CHECK(leader.lost == 0);
  CHECK(leader.lapsed == 0);
  CHECK(leader.released + leader.stopped == 0);
  CHECK(leader.urgent_start_delays.size() >= 170);
  CHECK(narrow.WorstUrgentDelay() < kMaxUrgentDelay);
}

// Guards against the same at any load: what other duties of the VM send at once
// fills the link for longer than an order may wait for its answer.
TEST_CASE("a burst on the leader's link takes no living worker for lost") {
  NarrowLeader narrow;
  LeaderSimulation& leader = narrow.leader;
  constexpr size_t kBurst = 200'000;  // 0.8 s.
  leader.Run(Millis{1000});
  for (int i = 0; i < 3; ++i) {
    narrow.Load(80, Millis{2000});
    leader.SendOther(kBurst);
  }
  narrow.Load(20, Millis{6000});
  CHECK(leader.done >= 500);
  CHECK(leader.lost == 0);
  CHECK(leader.released + leader.stopped + leader.lapsed == 0);
}

// A worker that is cut off is still noticed.
TEST_CASE("a silent worker is taken for lost behind a full link as well") {
  NarrowLeader narrow;
  LeaderSimulation& leader = narrow.leader;
  leader.Run(Millis{1000});
  narrow.Load(300, Millis{3000});
  leader.silent = {"w0", "w1", "w2"};
  narrow.Load(300, Millis{4000});
  CHECK(leader.lost == 3);
}

}  // namespace azurespur::cell
