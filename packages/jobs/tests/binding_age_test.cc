// Starts of bindings whose append was answered late.

#include <doctest/doctest.h>

#include "scheduler_fixture.h"

namespace azurespur::jobs {

using base::Millis;

namespace {

struct BindingFixture : SchedulerFixture {
  BindingFixture() {
    AddQueue("batch", 1);
    AddWorkers(1, 100);
    Run(Millis{200});
    Submit(1, "batch", 1, 10);
    now += Millis{100};
    scheduler.Tick(now, UnixMs(), now, out);
    bound = std::exchange(out, {}).records;
  }

  // The append of the binding was sent now and is handled after `time`.
  void HandleAppendAfter(Millis time) {
    const base::MonoTime sent_at = now;
    now += time;
    for (const PendingRecord& pending : bound) {
      table.Apply(pending.record, now);
      scheduler.OnStored(pending, sent_at, now, out);
    }
  }

  std::vector<PendingRecord> bound;
};

}  // namespace

// Guards against bindings that an overloaded leader gives up and makes again.
TEST_CASE("a binding is started for as long as leases may be renewed") {
  BindingFixture f;
  REQUIRE(f.bound.size() == 1);
  f.HandleAppendAfter(Millis{6900});
  CHECK(f.out.starts.size() == 1);
}

// Guards against a start, and with it a lease, from a leader whose successor
// counts the worker's lease from the last append.
TEST_CASE("a binding is not started once leases may not be renewed") {
  BindingFixture f;
  REQUIRE(f.bound.size() == 1);
  f.HandleAppendAfter(Millis{7100});
  CHECK(f.out.starts.empty());
  CHECK(f.scheduler.unsent().too_old == 1);
}

}  // namespace azurespur::jobs
