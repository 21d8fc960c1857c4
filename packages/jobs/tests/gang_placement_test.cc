// Placement of gangs.

#include <doctest/doctest.h>

#include "scheduler_fixture.h"

namespace azurespur::jobs {

using base::Millis;

TEST_CASE("all members of a gang start with the same run number") {
  SchedulerFixture f;
  f.AddQueue("gangs", 1);
  f.AddWorkers(3, 10);
  f.Submit(1, "gangs", 6, 5, /*gang=*/true);
  f.Run(Millis{200});
  CHECK(f.CountRunning(1) == 6);
  for (const StartOrder& order : f.started) {
    CHECK(order.run == 1);
  }
}

// The cell is full and capacity becomes free in small parts, while gangs with
// less slack arrive after others that already wait. If each gang kept a part,
// none could start.
TEST_CASE("waiting gangs do not deadlock on partial reservations") {
  SchedulerFixture f;
  f.AddQueue("gangs", 1);
  f.AddQueue("batch", 2);
  f.AddWorkers(4, 10);
  f.Submit(1, "batch", 8, 5);
  f.Run(Millis{200});
  REQUIRE(f.CountRunning(1) == 8);
  int32_t next = 0;
  const auto free_slots = [&f, &next](int32_t count) {
    for (int32_t i = 0; i < count; ++i) {
      f.End({1, 0, next}, EndCause::kDone);
      ++next;
    }
    f.Run(Millis{300});
  };
  f.Submit(10, "gangs", 4, 5, /*gang=*/true, /*estimate_ms=*/9000);
  free_slots(3);
  f.Submit(11, "gangs", 4, 5, /*gang=*/true, /*estimate_ms=*/6000);
  free_slots(3);
  f.Submit(12, "gangs", 4, 5, /*gang=*/true, /*estimate_ms=*/3000);
  free_slots(2);
  CHECK(f.CountRunning(12) == 4);
  CHECK(f.CountRunning(11) == 4);
}

// Without a reservation, a stream of small tasks would starve a waiting gang.
TEST_CASE("capacity reserved for a gang is not given to later small tasks") {
  SchedulerFixture f;
  f.AddQueue("gangs", 1);
  f.AddQueue("batch", 2);
  f.AddWorkers(2, 10);
  f.Submit(1, "batch", 4, 5);
  f.Run(Millis{200});
  f.Submit(2, "gangs", 4, 5, /*gang=*/true, /*estimate_ms=*/100);
  f.Submit(3, "batch", 20, 5, /*gang=*/false, /*estimate_ms=*/100);
  for (int32_t i = 0; i < 4; ++i) {
    f.End({1, 0, i}, EndCause::kDone);
    f.Run(Millis{400});
  }
  CHECK(f.CountRunning(2) == 4);
  CHECK(f.CountRunning(3) == 0);
}

TEST_CASE(
    "a gang that loses a member is stopped and restarted with all members") {
  SchedulerFixture f;
  f.AddQueue("gangs", 1);
  f.AddWorkers(3, 10);
  f.Submit(1, "gangs", 3, 10, /*gang=*/true);
  f.Run(Millis{200});
  REQUIRE(f.CountRunning(1) == 3);
  f.End({1, 0, 1}, EndCause::kFailed);
  f.Run(Millis{1500});
  CHECK(f.CountRunning(1) == 3);
  CHECK(f.started.back().run == 2);
}

TEST_CASE("a gang that exhausts its attempts fails the job") {
  SchedulerFixture f;
  f.AddQueue("gangs", 1).max_attempts = 2;
  f.AddWorkers(2, 10);
  f.Submit(1, "gangs", 2, 10, /*gang=*/true);
  for (int attempt = 0; attempt < 2; ++attempt) {
    f.Run(Millis{1500});
    REQUIRE(f.CountRunning(1) == 2);
    f.End({1, 0, 0}, EndCause::kFailed);
    f.End({1, 0, 1}, EndCause::kGangBroken);
  }
  f.Run(Millis{1500});
  CHECK(f.table.StateOf(1) == JobState::kFailed);
  CHECK(f.started.size() == 4);
}

// A full plan takes long if many gangs wait. Urgent jobs, which arrive all the
// time, must not wait for it.
TEST_CASE("an urgent job is placed before the next full plan") {
  SchedulerFixture f;
  f.AddQueue("urgent", 0);
  f.AddQueue("batch", 1);
  f.AddWorkers(2, 100);
  f.Run(Millis{200});
  f.Submit(1, "batch", 1, 10);
  f.Submit(2, "urgent", 1, 10);
  f.Step(Millis{1});
  f.Submit(3, "batch", 1, 10);
  f.Submit(4, "urgent", 1, 10);
  f.Step(Millis{1});
  CHECK(f.CountRunning(2) == 1);
  CHECK(f.CountRunning(4) == 1);
  CHECK(f.CountRunning(3) == 0);
  f.Run(f.options.full_plan_interval + Millis{20});
  CHECK(f.CountRunning(1) == 1);
  CHECK(f.CountRunning(3) == 1);
}

}  // namespace azurespur::jobs
