// Workers with more ends than one report lists.

#include <doctest/doctest.h>

#include "scheduler_fixture.h"

namespace azurespur::jobs {

using base::Millis;

// Guards against a task that is done and starts again, since its end was not
// among those that its worker listed while the log was down.
TEST_CASE("a task whose end is not listed yet is not started again") {
  SchedulerFixture f;
  f.max_listed_ends = 3;
  f.AddQueue("batch", 1);
  f.AddWorkers(1, 100);
  f.Run(Millis{200});
  f.Submit(1, "batch", 8, 10);
  f.Run(Millis{200});
  REQUIRE(f.CountRunning(1) == 8);
  f.log_down = true;
  for (int32_t i = 0; i < 8; ++i) {
    f.End({1, 0, i}, EndCause::kDone);
  }
  f.Run(Millis{4500});
  f.log_down = false;
  f.Run(Millis{2000});
  CHECK(f.started.size() == 8);
  CHECK(f.stopped.empty());
  CHECK(f.table.StateOf(1) == JobState::kCompleted);
}

// Guards against the same after a change of leaders.
TEST_CASE("a new leader does not start a task whose end is not listed yet") {
  SchedulerFixture f;
  f.AddQueue("batch", 1);
  f.AddWorkers(1, 100);
  f.Run(Millis{200});
  f.Submit(1, "batch", 8, 10);
  f.Run(Millis{200});
  REQUIRE(f.CountRunning(1) == 8);
  for (int32_t i = 0; i < 8; ++i) {
    f.End({1, 0, i}, EndCause::kDone);
  }
  Scheduler successor(f.options, f.table);
  successor.Adopt(f.now);
  successor.SetWorkers(f.entries, f.now);
  WorkerReport report;
  report.clock_ms = f.UnixMs();
  report.boot_unix_ms = 1;
  report.ended = f.ends["w0"];
  report.ended.resize(3);
  report.more_ends = true;
  HoldOrder order;
  order.worker = f.entries[0].boot;
  order.sent_at = f.now;
  SchedulerOutput out;
  successor.OnReport(order, report, f.now, out);
  CHECK(std::count_if(out.records.begin(), out.records.end(),
                      [](const PendingRecord& pending) {
                        const auto* end =
                            std::get_if<EndRecord>(&pending.record);
                        return end != nullptr && end->kind != EndKind::kDone;
                      }) == 0);
}

}  // namespace azurespur::jobs
