// The reasons that stop orders name: operators could not tell preempted runs
// from stalled ones or those of jobs that were cancelled.

#include <doctest/doctest.h>

#include <algorithm>

#include "scheduler_fixture.h"

namespace azurespur::jobs {

using base::Millis;

namespace {

bool AllStopsHave(const SchedulerFixture& f, StopReason reason) {
  return std::all_of(
      f.stopped.begin(), f.stopped.end(),
      [reason](const StopOrder& order) { return order.reason == reason; });
}

}  // namespace

TEST_CASE("a stop of a cancelled job's run says that the job is over") {
  SchedulerFixture f;
  f.AddQueue("batch", 2);
  f.AddWorkers(2, 10);
  f.Submit(1, "batch", 2, 5);
  f.Run(Millis{200});
  f.table.Cancel(1, 0, f.now);
  f.Run(Millis{200});
  REQUIRE(f.stopped.size() == 2);
  CHECK(AllStopsHave(f, StopReason::kJobOver));
  CHECK(f.scheduler.fleet().stop_counts().Get(StopReason::kJobOver) == 2);
}

TEST_CASE("a stop for a gang's capacity says that the run is preempted") {
  SchedulerFixture f;
  f.AddQueue("gangs", 1);
  f.AddQueue("batch", 2);
  f.AddWorkers(2, 10);
  f.Submit(1, "batch", 4, 5);
  f.SetCheckpointing(1);
  f.Run(Millis{200});
  f.Submit(2, "gangs", 2, 5, /*gang=*/true);
  f.Run(Millis{200});
  REQUIRE(f.stopped.size() == 2);
  CHECK(AllStopsHave(f, StopReason::kPreempted));
}

TEST_CASE("a stop of a gang that lost a member says that it is incomplete") {
  SchedulerFixture f;
  f.AddQueue("gangs", 1);
  f.AddWorkers(2, 10);
  f.Submit(1, "gangs", 2, 5, /*gang=*/true);
  f.Run(Millis{200});
  f.End({1, 0, 0}, EndCause::kFailed);
  f.Run(Millis{100});
  REQUIRE(!f.stopped.empty());
  CHECK(f.stopped.front().reason == StopReason::kGangIncomplete);
}

TEST_CASE("a repeated stop keeps its reason and is counted once") {
  SchedulerFixture f;
  f.AddQueue("batch", 2);
  f.AddWorkers(1, 10);
  f.Submit(1, "batch", 1, 5);
  f.Run(Millis{200});
  f.stalled["w0"] = true;
  f.only_holds["w0"] = true;
  f.Run(Millis{4000});
  f.table.Cancel(1, 0, f.now);
  f.Run(Millis{2000});
  REQUIRE(f.stopped.size() > 2);
  CHECK(AllStopsHave(f, StopReason::kStalled));
  CHECK(f.scheduler.fleet().stop_counts().Get(StopReason::kStalled) == 1);
}

TEST_CASE("a stop after unanswered starts says that the start is unknown") {
  SchedulerFixture f;
  f.AddQueue("batch", 2);
  f.AddWorkers(1, 10);
  f.Run(Millis{100});
  f.unanswered_starts = f.options.max_start_sends;
  f.Submit(1, "batch", 1, 5);
  f.Run(Millis{200});
  REQUIRE(!f.stopped.empty());
  CHECK(AllStopsHave(f, StopReason::kStartUnknown));
}

}  // namespace azurespur::jobs
