#include "stream_freshness.h"

#include <doctest/doctest.h>

namespace azurespur::cell {

namespace {

constexpr base::MonoTime At(int64_t ms) {
  return base::MonoTime{base::Millis{ms}};
}

}  // namespace

TEST_CASE("a stream is complete as of the time of an end that was reached") {
  StreamFreshness freshness;
  CHECK_FALSE(freshness.complete_as_of());
  freshness.LearnEnd(2, At(100));
  CHECK_FALSE(freshness.complete_as_of());
  freshness.Advance(1);
  CHECK_FALSE(freshness.complete_as_of());
  freshness.Advance(2);
  CHECK(freshness.complete_as_of() == At(100));
  freshness.LearnEnd(2, At(300));
  CHECK(freshness.complete_as_of() == At(300));
}

// A VM that never reaches the newest end is still known to have what was stored
// up to an older one.
TEST_CASE("a stream that grows faster than it is read ages, but moves on") {
  StreamFreshness freshness;
  freshness.LearnEnd(10, At(100));
  freshness.LearnEnd(20, At(200));
  freshness.LearnEnd(30, At(300));
  freshness.Advance(25);
  CHECK(freshness.complete_as_of() == At(200));
  CHECK(freshness.known_end() == 30);
}

TEST_CASE("an end that was learnt out of order changes nothing") {
  StreamFreshness freshness;
  freshness.LearnEnd(10, At(200));
  freshness.LearnEnd(5, At(100));
  freshness.Advance(5);
  CHECK_FALSE(freshness.complete_as_of());
  freshness.Advance(10);
  CHECK(freshness.complete_as_of() == At(200));
}

TEST_CASE("the number of ends that are kept is bounded") {
  StreamFreshness freshness;
  for (int i = 1; i <= 1000; ++i) {
    freshness.LearnEnd(i, At(i));
  }
  freshness.Advance(10);
  CHECK(freshness.complete_as_of() == At(10));
  freshness.Advance(1000);
  CHECK(freshness.complete_as_of() == At(1000));
}

}  // namespace azurespur::cell
