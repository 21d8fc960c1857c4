// Workers that do not answer while the leader itself is behind.

#include <doctest/doctest.h>

#include "scheduler_fixture.h"

namespace azurespur::jobs {

using base::Millis;

// Guards against a dead worker that keeps its lease and gets new tasks for many
// seconds, since the leader takes the missing answers for its own delay.
TEST_CASE("a worker that dies while the leader is behind is noticed in time") {
  SchedulerFixture f;
  f.AddQueue("batch", 1);
  f.AddWorkers(2, 100);
  f.Run(Millis{200});
  f.Submit(1, "batch", 1, 100);
  f.Run(Millis{200});
  const std::string dead = f.WorkerOf({1, 0, 0});
  REQUIRE_FALSE(dead.empty());
  f.silent[dead] = true;
  f.running[dead].clear();
  // Each tick comes half a second late.
  const base::MonoTime died = f.now;
  int64_t restarts = 0;
  while (restarts == 0 && f.now < died + Millis{20000}) {
    f.Step(Millis{500});
    restarts = f.CountRunning(1);
  }
  CHECK(f.WorkerOf({1, 0, 0}) != dead);
  // The lease, a margin, and two hold orders.
  CHECK(f.now <= died + Millis{11000});
}

TEST_CASE("a worker in doubt gets no task and no longer lease") {
  SchedulerFixture f;
  f.AddQueue("batch", 1);
  f.AddWorkers(1, 100);
  f.Run(Millis{200});
  f.Step(Millis{500});
  f.silent["w0"] = true;
  f.Step(Millis{500});
  f.sent_holds.clear();
  f.Submit(1, "batch", 1, 10);
  f.Step(Millis{500});
  CHECK(f.started.empty());
  for (const HoldOrder& order : f.sent_holds) {
    CHECK_FALSE(order.lease_until_ms.has_value());
    CHECK(order.wait == Millis{0});
  }
}

}  // namespace azurespur::jobs
