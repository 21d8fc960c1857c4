#include "jobs/start_pacer.h"

#include <doctest/doctest.h>

#include "scheduler_fixture.h"

namespace azurespur::jobs {

using base::Micros;
using base::Millis;

namespace {

// Answers starts that each take `took`, for `time`; the limit is reached in
// each plan.
void Answer(StartPacer& pacer, base::MonoTime& now, Millis took, Millis time) {
  for (Millis spent{0}; spent < time; spent += Millis{10}) {
    now += Millis{10};
    pacer.BeginPlan(100000);
    pacer.MayBind(false);
    pacer.OnAnswer(took, now);
  }
}

}  // namespace

TEST_CASE("the limit follows the time that starts take, within bounds") {
  StartPacer pacer;
  base::MonoTime now{Millis{1000}};
  const int64_t initial = pacer.limit();
  Answer(pacer, now, Millis{400}, Millis{150});
  CHECK(pacer.limit() < initial);
  Answer(pacer, now, Millis{5000}, Millis{2000});
  const int64_t lowest = pacer.limit();
  CHECK(lowest > 0);
  Answer(pacer, now, Millis{20}, Millis{5000});
  const int64_t highest = pacer.limit();
  CHECK(highest > initial);
  Answer(pacer, now, Millis{20}, Millis{5000});
  CHECK(pacer.limit() == highest);
}

TEST_CASE("an unused limit does not grow") {
  StartPacer pacer;
  base::MonoTime now{Millis{1000}};
  const int64_t initial = pacer.limit();
  for (int i = 0; i < 500; ++i) {
    now += Millis{10};
    pacer.BeginPlan(0);
    CHECK(pacer.MayBind(false));
    pacer.OnAnswer(Millis{20}, now);
  }
  CHECK(pacer.limit() == initial);
}

// Guards against a slow log whose bindings hold the places of starts.
TEST_CASE("the limit grows with the time of an append, and falls with it") {
  StartPacer pacer;
  const int64_t initial = pacer.limit();
  const auto append = [&pacer](Millis took) {
    for (int i = 0; i < 10; ++i) {
      pacer.OnAppend(took);
    }
  };
  append(Millis{200});
  CHECK(pacer.limit() > 2 * initial);
  append(Millis{600});
  const int64_t slow = pacer.limit();
  CHECK(slow > 5 * initial);
  append(Millis{60000});
  CHECK(pacer.limit() < 9 * initial);
  pacer.OnAppend(Millis{0});
  CHECK(pacer.limit() == initial);
}

// Guards against starts that wait behind each other for the leader's link until
// they count as unanswered.
TEST_CASE("nothing is bound while starts would wait long for the link") {
  StartPacer pacer;
  pacer.BeginPlan(0);
  CHECK(pacer.MayBind(false));
  pacer.SetLinkWait(Millis{150});
  CHECK_FALSE(pacer.MayBind(false));
  CHECK(pacer.MayBind(true));
  pacer.SetLinkWait(Millis{250});
  CHECK_FALSE(pacer.MayBind(true));
  pacer.SetLinkWait(Millis{10});
  CHECK(pacer.MayBind(false));
}

TEST_CASE("no more is bound than a narrow link carries in time") {
  base::MonoTime now{Millis{1000}};
  StartPacer narrow(2);
  CHECK(narrow.limit() <= 50);
  Answer(narrow, now, Millis{20}, Millis{5000});
  CHECK(narrow.limit() <= 50);
  CHECK(narrow.limit() > 0);
  for (int i = 0; i < 10; ++i) {
    narrow.OnAppend(Millis{2000});
  }
  CHECK(narrow.limit() <= 200);
  CHECK(StartPacer(1000).limit() == StartPacer().limit());
}

TEST_CASE("urgent steps are bound beyond the limit of the others") {
  StartPacer pacer;
  pacer.BeginPlan(pacer.limit());
  CHECK_FALSE(pacer.MayBind(false));
  CHECK(pacer.MayBind(true));
  pacer.BeginPlan(2 * pacer.limit());
  CHECK_FALSE(pacer.MayBind(true));
}

// Guards against a step with many tasks that is bound whole, far beyond what
// can be started.
TEST_CASE("a step of many single tasks is bound up to the limit") {
  SchedulerFixture f;
  f.AddQueue("batch", 1);
  f.AddWorkers(100, 1000);
  f.scheduler.SetPolicy(f.policy);
  f.Step();
  f.Submit(1, "batch", 5000, 1);
  f.now += Millis{100};
  f.scheduler.Tick(f.now, f.UnixMs(), f.now, f.out);
  CHECK(f.scheduler.fleet().CountOutstanding() == f.scheduler.pacer().limit());
}

}  // namespace azurespur::jobs
