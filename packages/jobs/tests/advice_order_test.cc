// Which waiting step asks for advice next where the VMs that may ask are few,
// and what room a gang keeps meanwhile.

#include <doctest/doctest.h>

#include "scheduler_fixture.h"

namespace azurespur::jobs {

using base::Millis;

namespace {

constexpr JobId kFiller = 100;

std::vector<AdviceTicket> TicketsForAll(const AdviceQuery& query) {
  std::vector<AdviceTicket> tickets;
  for (const std::string& worker : query.workers) {
    tickets.push_back({worker, "t"});
  }
  return tickets;
}

}  // namespace

// Guards against steps that wait for ever while others ask again and again: the
// answer for one step freed a VM, and that step took it before any other step
// was planned.
TEST_CASE("the answer for one step lets the most urgent waiting step ask") {
  SchedulerFixture f;
  f.AddQueue("batch", 1).advice = AdvicePolicy{80, 1, 1000000};
  f.AddWorkers(30, 10);
  f.Run(Millis{200});
  f.Submit(1, "batch", 4, 5);
  f.Run(Millis{100});
  REQUIRE(f.sent_queries.size() == 1);
  f.Submit(2, "batch", 4, 5, /*gang=*/false, /*estimate_ms=*/10);
  f.scheduler.OnAdvice(f.sent_queries[0].id, {}, f.now);
  f.Step(Millis{1});
  f.Run(Millis{100});
  REQUIRE(f.sent_queries.size() == 2);
  CHECK(f.sent_queries[1].step.job == 2);
}

// Guards against a cell that stands idle with work waiting: gangs that know
// where they may run, and for which no VM is free to ask for tickets, kept the
// room of the whole cell from each other and from everyone else.
TEST_CASE("a gang that can't ask for tickets keeps no firm room") {
  SchedulerFixture f;
  f.AddQueue("filler", 2);
  f.AddQueue("gangs", 1).advice = AdvicePolicy{80, 1, 300};
  f.AddWorkers(10, 10);
  f.Submit(kFiller, "filler", 20, 5);
  f.Run(Millis{200});
  REQUIRE(f.CountRunning(kFiller) == 20);
  for (JobId gang = 1; gang <= 5; ++gang) {
    f.Submit(gang, "gangs", 4, 5, /*gang=*/true);
  }
  size_t answered = 0;
  for (int i = 0; i < 100; ++i) {
    f.Step();
    for (; answered < f.sent_queries.size(); ++answered) {
      const AdviceQuery query = f.sent_queries[answered];
      f.scheduler.OnAdvice(query.id, TicketsForAll(query), f.now);
    }
  }
  REQUIRE(answered >= 5);
  for (int32_t i = 0; i < 20; ++i) {
    f.End({kFiller, 0, i}, EndCause::kDone);
  }
  f.Run(Millis{100});
  f.Submit(kFiller + 1, "filler", 20, 5);
  f.Run(Millis{100});
  // One gang has asked and keeps room for its four members. The others are past
  // their objective and come after the filler.
  CHECK(f.CountRunning(kFiller + 1) == 16);
}

}  // namespace azurespur::jobs
