#include "jobs/own_delay.h"

#include <doctest/doctest.h>

#include "scheduler_fixture.h"

namespace azurespur::jobs {

using base::Millis;

TEST_CASE("the longest delay counts for some seconds") {
  OwnDelay delay;
  const base::MonoTime now{Millis{10000}};
  delay.Observe(now - Millis{20}, now);
  CHECK(delay.Recent(now) == Millis{0});
  delay.Observe(now - Millis{500}, now);
  delay.Observe(now - Millis{200}, now);
  CHECK(delay.Recent(now) == Millis{500});
  CHECK(delay.Recent(now + Millis{1900}) == Millis{500});
  CHECK(delay.Recent(now + Millis{5000}) == Millis{0});
}

TEST_CASE("the timeout of orders grows with the delay, up to a limit") {
  Fleet fleet{SchedulerOptions{}};
  const base::MonoTime now{Millis{100000}};
  CHECK(fleet.OrderTimeout(now) == Millis{350});
  fleet.ObserveDelay(now - Millis{400}, now);
  CHECK(fleet.OrderTimeout(now) == Millis{750});
  fleet.ObserveDelay(now - Millis{60000}, now);
  CHECK(fleet.OrderTimeout(now) == Millis{2500});
}

// Guards against a leader that is always behind and so never finds a worker
// lost.
TEST_CASE("a silent worker is lost even if this VM stays behind") {
  SchedulerFixture f;
  f.AddQueue("batch", 1);
  f.AddWorkers(1, 100);
  f.Run(Millis{200});
  const auto responsive = [&f] {
    return f.scheduler.fleet().workers().at("w0").responsive;
  };
  REQUIRE(responsive());
  f.silent["w0"] = true;
  f.Step(Millis{1000});
  CHECK(responsive());
  f.Step(Millis{1000});
  CHECK_FALSE(responsive());
}

}  // namespace azurespur::jobs
