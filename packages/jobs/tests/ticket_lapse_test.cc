// Runs with tickets on workers that are lost without any answer. Only the boot
// that the ticket was given for can run them. The users' reviewers saw
// submissions with nothing running while such runs counted for longer
// (review/9, review/10).

#include <doctest/doctest.h>

#include <vector>

#include "scheduler_fixture.h"

namespace azurespur::jobs {

using base::Millis;

namespace {

// The longest lease that a leader asks for, on the slowest clock, and a margin.
constexpr Millis kLease{8830};
constexpr Millis kSlack{1000};
constexpr Millis kTick{20};

struct TicketFixture : SchedulerFixture {
  TicketFixture() {
    AddQueue("batch", 1).advice = AdvicePolicy{80, 1, 1000000};
    AddWorkers(2, 10);
    Run(Millis{200});
  }

  void RunAnswering(Millis time) {
    const base::MonoTime end = now + time;
    while (now < end) {
      Step();
      for (const AdviceQuery& query : std::exchange(sent_queries, {})) {
        std::vector<AdviceTicket> tickets;
        for (const std::string& worker : query.workers) {
          tickets.push_back({worker, "t"});
        }
        scheduler.OnAdvice(query.id, tickets, now);
      }
    }
  }
};

// How long after its election a leader gives up a run that it adopted and
// hears nothing of.
Millis AdoptedFor(bool has_ticket) {
  Fleet fleet{SchedulerOptions()};
  const base::MonoTime begin{Millis{1000000}};
  fleet.Adopt({1, 0, 0}, 1, {"w", 1}, {}, /*gang=*/false, begin, kNoAccount,
              has_ticket);
  SchedulerOutput out;
  base::MonoTime now = begin;
  while (out.records.empty() && now < begin + Millis{60000}) {
    now += kTick;
    fleet.Tick(now, /*may_renew=*/false, out);
  }
  return Millis{base::MillisBetween(begin, now)};
}

}  // namespace

// Guards against review/10, LOST: a run whose first send got no answer waits
// 22.9 s for the lease of a boot that would refuse its ticket.
TEST_CASE(
    "a run with a ticket on a lost worker counts no longer than a lease") {
  TicketFixture f;
  f.unanswered_starts = 1;
  f.Submit(1, "batch", 1, 10);
  f.RunAnswering(Millis{500});
  REQUIRE(f.CountRunning(1) == 1);
  const std::string first = f.WorkerOf({1, 0, 0});
  f.silent[first] = true;
  f.running[first].clear();
  f.RunAnswering(Millis{7000});
  CHECK(f.CountRunning(1) == 0);
  f.RunAnswering(kLease - Millis{7000} + kSlack);
  CHECK(f.CountRunning(1) == 1);
}

// Guards against review/9, LOST: a new leader counts the lease of such a run as
// that of a boot which had just begun.
TEST_CASE("a new leader counts a run with a ticket for the leader's lease") {
  const SchedulerOptions options;
  const Millis with = AdoptedFor(/*has_ticket=*/true);
  const Millis without = AdoptedFor(/*has_ticket=*/false);
  CHECK(with >= options.max_renew_after_append + options.lease);
  CHECK(with <= options.max_renew_after_append + kLease + kTick);
  CHECK(without >= options.max_renew_after_append + options.max_lease);
}

}  // namespace azurespur::jobs
