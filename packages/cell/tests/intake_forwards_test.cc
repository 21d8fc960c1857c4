#include "intake_forwards.h"

#include <doctest/doctest.h>

#include <optional>
#include <string>
#include <vector>

namespace azurespur::cell {

namespace {

using base::Millis;
using base::MonoTime;

constexpr MonoTime kStart{Millis{1000}};

struct ForwardsFixture {
  void Start(bool uncertain, Millis budget = Millis{2000}) {
    forwards.Start("record", uncertain, kStart + budget, kStart,
                   [this](StoreOutcome one) { outcome = one; });
  }

  std::vector<uint64_t> sent;
  std::optional<StoreOutcome> outcome;
  IntakeForwards forwards{
      [this](uint64_t id, const std::string& record, Millis wait) {
        CHECK(record == "record");
        CHECK(wait > Millis{0});
        sent.push_back(id);
      }};
};

}  // namespace

// Pattern: the log turns this VM away and serves the leader's.
TEST_CASE("the other VM's answer is the outcome") {
  for (StoreOutcome answer : {StoreOutcome::kStored, StoreOutcome::kNotStored,
                              StoreOutcome::kUnknown}) {
    ForwardsFixture f;
    f.Start(/*uncertain=*/false);
    REQUIRE(f.sent.size() == 1);
    CHECK_FALSE(f.outcome.has_value());
    f.forwards.OnOutcome(f.sent[0], answer);
    CHECK(f.outcome == answer);
  }
}

TEST_CASE("what may have been stored before is never said not to be") {
  ForwardsFixture own_try;
  own_try.Start(/*uncertain=*/true);
  own_try.forwards.OnOutcome(own_try.sent[0], StoreOutcome::kNotStored);
  CHECK(own_try.outcome == StoreOutcome::kUnknown);

  ForwardsFixture repeated;
  repeated.Start(/*uncertain=*/false);
  repeated.forwards.Tick(kStart + Millis{130});
  REQUIRE(repeated.sent.size() == 2);
  repeated.forwards.OnOutcome(repeated.sent[1], StoreOutcome::kNotStored);
  CHECK(repeated.outcome == StoreOutcome::kUnknown);
}

TEST_CASE("messages are repeated a few times, then the fate is unknown") {
  ForwardsFixture f;
  f.Start(/*uncertain=*/false);
  for (int ms = 0; ms <= 1000 && !f.outcome; ms += 20) {
    f.forwards.Tick(kStart + Millis{ms});
  }
  CHECK(f.sent.size() == 4);
  CHECK(f.outcome == StoreOutcome::kUnknown);
  f.forwards.OnOutcome(f.sent[0], StoreOutcome::kStored);
  CHECK(f.outcome == StoreOutcome::kUnknown);
}

TEST_CASE("nothing waits beyond its deadline") {
  ForwardsFixture f;
  f.Start(/*uncertain=*/false, Millis{50});
  f.forwards.Tick(kStart + Millis{49});
  CHECK_FALSE(f.outcome.has_value());
  f.forwards.Tick(kStart + Millis{50});
  CHECK(f.outcome == StoreOutcome::kUnknown);
}

}  // namespace azurespur::cell
