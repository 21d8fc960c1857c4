// Timeouts of hold orders.

#include <doctest/doctest.h>

#include <utility>

#include "scheduler_fixture.h"

namespace azurespur::jobs {

using base::Millis;

// Guards against a slow report that keeps the next hold order, and with it the
// lease, waiting until the tasks of a healthy worker are killed.
TEST_CASE("a hold order ends before the lease that it renews") {
  const SchedulerOptions options;
  Fleet fleet{options};
  base::MonoTime now{Millis{100000}};
  WorkerEntry entry;
  entry.boot = {"w0", 1};
  entry.address = "addr";
  SchedulerOutput out;
  fleet.SetEntries({&entry, 1}, now);
  WorkerReport report;
  report.clock_ms = 1;
  report.boot_unix_ms = 1;
  HoldOrder first;
  first.worker = entry.boot;
  first.sent_at = now;
  fleet.OnReport(first, report, now, out);
  SUBCASE("on a VM that keeps up") {}
  SUBCASE("on a VM that is far behind") {
    fleet.ObserveDelay(now - Millis{60000}, now);
  }
  fleet.Tick(now, /*may_renew=*/true, out);
  REQUIRE(out.holds.size() == 1);
  const HoldOrder& order = out.holds[0];
  REQUIRE(order.lease_until_ms.has_value());
  REQUIRE(order.wait == options.idle_hold_wait);
  CHECK(order.max_transfer > Millis{0});
  CHECK(order.wait + order.timeout + order.max_transfer < options.lease);
}

// Guards against review/6, LOST: the answer to the hold order under way counted
// as that of another boot, and no other one was sent for the rest of the term.
TEST_CASE("an entry that tells no boot ends no hold order under way") {
  Fleet fleet{SchedulerOptions()};
  base::MonoTime now{Millis{100000}};
  WorkerEntry entry;
  entry.boot = {"w0", 7};
  entry.address = "addr";
  fleet.SetEntries({&entry, 1}, now);
  SchedulerOutput out;
  fleet.Tick(now, /*may_renew=*/true, out);
  REQUIRE(out.holds.size() == 1);
  const HoldOrder order = std::exchange(out.holds, {}).at(0);
  entry.boot.boot_unix_ms = 0;
  fleet.SetEntries({&entry, 1}, now);
  WorkerReport report;
  report.clock_ms = 1;
  report.boot_unix_ms = 7;
  fleet.OnReport(order, report, now, out);
  now += Millis{1000};
  fleet.Tick(now, /*may_renew=*/true, out);
  CHECK(out.holds.size() == 1);
}

}  // namespace azurespur::jobs
