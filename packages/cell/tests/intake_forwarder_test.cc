#include "intake_forwarder.h"

#include <doctest/doctest.h>

#include <optional>
#include <string>
#include <vector>

namespace azurespur::cell {

namespace {

using base::Millis;
using base::MonoTime;

constexpr MonoTime kStart{Millis{1000}};

struct ForwarderFixture {
  void Start(bool uncertain, Millis budget = Millis{2000}) {
    forwarder.Start("record", uncertain, kStart + budget, kStart,
                    [this](StoreOutcome one) { outcome = one; });
  }

  std::vector<uint64_t> sent;
  std::optional<StoreOutcome> outcome;
  IntakeForwarder forwarder{
      [this](uint64_t id, const std::string& record, Millis wait) {
        CHECK(record == "record");
        CHECK(wait > Millis{0});
        sent.push_back(id);
      }};
};

}  // namespace

// The log doesn't serve this VM but serves the leader's.
TEST_CASE("the leader's response is the outcome") {
  for (StoreOutcome response : {StoreOutcome::kStored, StoreOutcome::kNotStored,
                                StoreOutcome::kUnknown}) {
    ForwarderFixture f;
    f.Start(/*uncertain=*/false);
    REQUIRE(f.sent.size() == 1);
    CHECK_FALSE(f.outcome.has_value());
    f.forwarder.OnOutcome(f.sent[0], response);
    CHECK(f.outcome == response);
  }
}

TEST_CASE("a record that may be stored is never reported as not stored") {
  ForwarderFixture own_append;
  own_append.Start(/*uncertain=*/true);
  own_append.forwarder.OnOutcome(own_append.sent[0], StoreOutcome::kNotStored);
  CHECK(own_append.outcome == StoreOutcome::kUnknown);

  ForwarderFixture repeated;
  repeated.Start(/*uncertain=*/false);
  repeated.forwarder.Tick(kStart + Millis{130}, true);
  REQUIRE(repeated.sent.size() == 2);
  repeated.forwarder.OnOutcome(repeated.sent[1], StoreOutcome::kNotStored);
  CHECK(repeated.outcome == StoreOutcome::kUnknown);
}

TEST_CASE("unanswered messages are retried a few times with growing delays") {
  ForwarderFixture f;
  f.Start(/*uncertain=*/false);
  std::vector<int> sent_ms;
  for (int ms = 0; ms < 2000; ms += 20) {
    f.forwarder.Tick(kStart + Millis{ms}, true);
    if (f.sent.size() > sent_ms.size() + 1) {
      sent_ms.push_back(ms);
    }
  }
  CHECK(sent_ms == std::vector<int>{120, 360, 840});
  CHECK_FALSE(f.outcome.has_value());
  f.forwarder.OnOutcome(f.sent[0], StoreOutcome::kStored);
  CHECK(f.outcome == StoreOutcome::kStored);
}

// The leader's VM loses power while it stores records for others.
TEST_CASE("the outcome is unknown soon after the leader becomes unreachable") {
  ForwarderFixture f;
  f.Start(/*uncertain=*/false);
  f.forwarder.Tick(kStart + Millis{390}, false);
  CHECK_FALSE(f.outcome.has_value());
  f.forwarder.Tick(kStart + Millis{400}, false);
  CHECK(f.outcome == StoreOutcome::kUnknown);
  f.forwarder.OnOutcome(f.sent[0], StoreOutcome::kStored);
  CHECK(f.outcome == StoreOutcome::kUnknown);
}

TEST_CASE("a record ends with an unknown outcome at its deadline") {
  ForwarderFixture f;
  f.Start(/*uncertain=*/false, Millis{50});
  f.forwarder.Tick(kStart + Millis{49}, true);
  CHECK_FALSE(f.outcome.has_value());
  f.forwarder.Tick(kStart + Millis{50}, true);
  CHECK(f.outcome == StoreOutcome::kUnknown);
}

}  // namespace azurespur::cell
