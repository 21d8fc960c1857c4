// Repeats of starts that were not answered.

#include <doctest/doctest.h>

#include "scheduler_fixture.h"

namespace azurespur::jobs {

using base::Millis;

namespace {

struct RepeatFixture : SchedulerFixture {
  explicit RepeatFixture(bool gang = false) {
    AddQueue("batch", 1);
    AddWorkers(1, 100);
    Run(Millis{200});
    Submit(1, "batch", 1, 10, gang);
    now += Millis{100};
    scheduler.Tick(now, UnixMs(), now, out);
    const SchedulerOutput planned = std::exchange(out, {});
    holds = planned.holds;
    for (const PendingRecord& pending : planned.records) {
      table.Apply(pending.record, now);
      scheduler.OnStored(pending, now, now, out);
    }
    starts = std::exchange(out, {}).starts;
  }

  // The start that was sent last gets no answer. Returns true if it is sent
  // again.
  bool LoseAnswer() {
    const StartOrder lost = starts.back();
    now += lost.timeout;
    scheduler.OnStarted(lost, {}, now, out);
    const std::vector<StartOrder> again = std::exchange(out, {}).starts;
    starts.insert(starts.end(), again.begin(), again.end());
    return !again.empty();
  }

  // The worker answers the hold order that was under way all the while.
  void AnswerHolds() {
    out.holds = std::exchange(holds, {});
    Run(Millis{200});
  }

  std::vector<StartOrder> starts;
  std::vector<HoldOrder> holds;
};

}  // namespace

// Guards against a task that starts on a worker after the leader has seen that
// the worker drains.
TEST_CASE("a start is not repeated on a worker that drains meanwhile") {
  RepeatFixture f(/*gang=*/true);
  REQUIRE(f.starts.size() == 1);
  SUBCASE("it does not drain") {
    CHECK(f.LoseAnswer());
  }
  SUBCASE("it drains") {
    f.entries[0].draining = true;
    f.scheduler.SetWorkers(f.entries, f.now);
    CHECK_FALSE(f.LoseAnswer());
  }
  SUBCASE("it has left") {
    f.scheduler.SetWorkers({}, f.now);
    CHECK_FALSE(f.LoseAnswer());
  }
}

// The same for a start that is sent again once a report lacks the run.
TEST_CASE("a start is not sent again later to a worker that drains meanwhile") {
  RepeatFixture f;
  REQUIRE(f.starts.size() == 1);
  CHECK_FALSE(f.LoseAnswer());
  SUBCASE("it does not drain") {
    f.AnswerHolds();
    CHECK(f.started.size() == 1);
    CHECK(f.stopped.empty());
    CHECK(f.CountRunning(1) == 1);
  }
  SUBCASE("it drains") {
    f.entries[0].draining = true;
    f.AnswerHolds();
    CHECK(f.started.empty());
    CHECK_FALSE(f.stopped.empty());
  }
  SUBCASE("it has left") {
    f.entries.clear();
    f.AnswerHolds();
    CHECK(f.started.empty());
    CHECK_FALSE(f.stopped.empty());
  }
}

// Guards against a gang whose other members give up, since one member's start
// is repeated seconds later by a leader that is behind.
TEST_CASE("all sends of a start fit into two seconds however late the VM is") {
  RepeatFixture f(/*gang=*/true);
  REQUIRE(f.starts.size() == 1);
  const base::MonoTime first = f.starts[0].sent_at;
  f.now += Millis{4000};
  f.scheduler.Tick(f.now, f.UnixMs(), f.now, f.out);
  const Millis spent{base::MillisBetween(first, f.now)};
  while (f.LoseAnswer()) {
  }
  REQUIRE(f.starts.size() == 3);
  const Millis repeats{base::MillisBetween(first, f.now)};
  CHECK(repeats - spent <= Millis{2000});
}

}  // namespace azurespur::jobs
