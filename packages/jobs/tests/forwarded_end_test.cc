// Ends that a former leader heard from workers and hands to its successor.

#include <doctest/doctest.h>

#include <optional>
#include <string_view>
#include <variant>

#include "jobs/fleet.h"

namespace azurespur::jobs {

namespace {

const TaskRef kTask{1, 0, 0};
constexpr int32_t kRun = 2;

// A leader has adopted run 2 of a task on a worker that isn't listed.
struct AdoptedFixture {
  AdoptedFixture() { fleet.Adopt(kTask, kRun, {"w", 1}, {}, false, now); }

  // The end that the fleet records, if any.
  std::optional<EndRecord> Forward(int32_t run, std::string_view worker) {
    fleet.OnForwardedEnd({kTask, run, EndKind::kDone, ""}, worker, now, out);
    return out.records.empty()
               ? std::nullopt
               : std::optional(std::get<EndRecord>(out.records[0].record));
  }

  base::MonoTime now{base::Millis{1000}};
  Fleet fleet{SchedulerOptions{}};
  SchedulerOutput out;
};

}  // namespace

// Guards against a wait for a lease although the end is known.
TEST_CASE("a forwarded end of an adopted run is recorded once") {
  AdoptedFixture f;
  const auto end = f.Forward(kRun, "w");
  REQUIRE(end.has_value());
  CHECK(end->run == kRun);
  CHECK(end->kind == EndKind::kDone);
  CHECK(f.fleet.FindRun(kTask) == nullptr);
  f.out = {};
  CHECK_FALSE(f.Forward(kRun, "w").has_value());
}

// Guards against a task that is started twice, since a late message about an
// earlier run, or one of another worker, ends the run that is at work.
TEST_CASE("a forwarded end of another run or worker ends nothing") {
  AdoptedFixture f;
  CHECK_FALSE(f.Forward(kRun - 1, "w").has_value());
  CHECK_FALSE(f.Forward(kRun + 1, "w").has_value());
  CHECK_FALSE(f.Forward(kRun, "v").has_value());
  CHECK(f.fleet.FindRun(kTask) != nullptr);
}

}  // namespace azurespur::jobs
