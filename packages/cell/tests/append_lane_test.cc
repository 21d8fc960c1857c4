#include "append_lane.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "fake_log.h"

namespace azurespur::cell {

namespace {

struct LaneFixture {
  // Lets the log answer one try; `kNone` as its rules say.
  LaneOutcome Try(AppendLane& lane, AppendFault fault = AppendFault::kNone) {
    log.InjectFault(fault);
    AppendRequest request = lane.MakeRequest();
    request.topic = std::string("t");
    AppendStatus status = AppendStatus::kUnknown;
    log.Append(request,
               [&status](AppendResult result) { status = result.status; });
    log.DeliverResponses();
    return lane.OnAnswer(status);
  }

  LaneOutcome Append(AppendLane& lane,
                     const std::string& record,
                     AppendFault fault = AppendFault::kNone) {
    lane.Begin({record});
    return Try(lane, fault);
  }

  std::vector<std::string>& records() { return log.topics["t"].records; }

  FakeLog log;
};

}  // namespace

// Guards against a record that is stored twice, or lost, by a repeat.
TEST_CASE("an append is stored once, however many of its answers are lost") {
  LaneFixture f;
  AppendLane lane("vm.0", 1000);
  CHECK(f.Append(lane, "a", AppendFault::kLoseResponse) == LaneOutcome::kOpen);
  CHECK(f.Try(lane, AppendFault::kLoseResponse) == LaneOutcome::kOpen);
  CHECK(f.Try(lane) == LaneOutcome::kAppended);
  CHECK(f.Append(lane, "b") == LaneOutcome::kAppended);
  CHECK(f.records() == std::vector<std::string>{"a", "b"});
}

// Guards against "never runs" for a record that an earlier try stores.
TEST_CASE("a refusal decides an append only if no try was without an answer") {
  LaneFixture f;
  AppendLane lane("vm.0", 1000);
  CHECK(f.Append(lane, "a", AppendFault::kRefuse) == LaneOutcome::kNotAppended);
  CHECK(lane.idle());
  CHECK(f.Append(lane, "b", AppendFault::kLate) == LaneOutcome::kOpen);
  CHECK(f.Try(lane, AppendFault::kRefuse) == LaneOutcome::kOpen);
  CHECK_FALSE(lane.idle());
  CHECK(f.log.CarryOutLate() == 1);
  CHECK(f.Try(lane) == LaneOutcome::kAppended);
  CHECK(f.records() == std::vector<std::string>{"b"});
}

// Guards against other records that are taken for stored because the number of
// an abandoned append was used again.
TEST_CASE("an abandoned append is fenced by the next that succeeds") {
  LaneFixture f;
  AppendLane lane("vm.0", 1000);
  CHECK(f.Append(lane, "a") == LaneOutcome::kAppended);
  CHECK(f.Append(lane, "b", AppendFault::kLate) == LaneOutcome::kOpen);
  lane.Abandon();
  SUBCASE("that is late by less") {
    CHECK(f.log.CarryOutLate() == 1);
    CHECK(f.Append(lane, "c") == LaneOutcome::kAppended);
    CHECK(f.records() == std::vector<std::string>{"a", "b", "c"});
  }
  SUBCASE("that is late by more") {
    CHECK(f.Append(lane, "c") == LaneOutcome::kAppended);
    CHECK(f.log.CarryOutLate() == 0);
    CHECK(f.records() == std::vector<std::string>{"a", "c"});
  }
}

// Guards against a late append of a VM's former life, which the next life can't
// know of.
TEST_CASE("a life's first append fences those of the former life") {
  LaneFixture f;
  AppendLane former("vm.0", 1000);
  CHECK(f.Append(former, "a", AppendFault::kLate) == LaneOutcome::kOpen);
  AppendLane lane("vm.0", 1001);
  CHECK_FALSE(lane.established());
  lane.Begin({});
  CHECK(f.Try(lane) == LaneOutcome::kAppended);
  CHECK(lane.established());
  CHECK(f.log.CarryOutLate() == 0);
  CHECK(f.Append(lane, "b") == LaneOutcome::kAppended);
  CHECK(f.records() == std::vector<std::string>{"b"});
}

// Guards against a paused process that fences its successor in turn.
TEST_CASE("a former life stays superseded, and knows what it has in doubt") {
  LaneFixture f;
  AppendLane former("vm.0", 1000);
  CHECK(f.Append(former, "a") == LaneOutcome::kAppended);
  CHECK(f.Append(former, "b", AppendFault::kLate) == LaneOutcome::kOpen);
  AppendLane lane("vm.0", 5000);
  CHECK(f.Append(lane, "c") == LaneOutcome::kAppended);
  CHECK(f.Try(former) == LaneOutcome::kUncertain);
  CHECK(former.superseded());
  CHECK(f.Append(former, "d") == LaneOutcome::kNotAppended);
  CHECK(f.log.CarryOutLate() == 0);
  CHECK(f.Append(lane, "e") == LaneOutcome::kAppended);
  CHECK_FALSE(lane.superseded());
  CHECK(f.records() == std::vector<std::string>{"a", "c", "e"});
}

// Guards against a VM that can't append any more since its clock was set back.
TEST_CASE(
    "a life that starts under a lower number raises it until it appends") {
  LaneFixture f;
  AppendLane former("vm.0", 10'000'000);
  CHECK(f.Append(former, "a") == LaneOutcome::kAppended);
  AppendLane lane("vm.0", 1000);
  int tries = 1;
  while (f.Append(lane, "b") == LaneOutcome::kNotAppended) {
    ++tries;
    REQUIRE(tries < 20);
  }
  CHECK(lane.established());
  CHECK_FALSE(lane.superseded());
  CHECK(f.Append(former, "c") == LaneOutcome::kNotAppended);
  CHECK(f.records() == std::vector<std::string>{"a", "b"});
}

// Guards against a lane that stays at a number that the log doesn't expect: the
// log keeps the answers of few appends.
TEST_CASE("a lane whose number is not expected goes on under a higher epoch") {
  LaneFixture f;
  AppendLane lane("vm.0", 1000);
  CHECK(f.Append(lane, "a") == LaneOutcome::kAppended);
  CHECK(f.Append(lane, "b", AppendFault::kLoseResponse) == LaneOutcome::kOpen);
  f.log.topics["t"].producers["vm.0"].recent.clear();
  CHECK(f.Try(lane) == LaneOutcome::kUncertain);
  CHECK(lane.idle());
  CHECK(f.Append(lane, "c") == LaneOutcome::kAppended);
  CHECK(f.records() == std::vector<std::string>{"a", "b", "c"});
}

}  // namespace azurespur::cell
