#include "speed_probe.h"

#include <doctest/doctest.h>

#include <vector>

namespace azurespur::cell {

TEST_CASE("one slow measurement out of three is ignored") {
  SpeedProbe probe;
  probe.Add(20);
  CHECK(probe.WorkMicros() == 0);
  probe.Add(500);
  probe.Add(21);
  CHECK(probe.WorkMicros() == 21);
  probe.Add(480);
  CHECK(probe.WorkMicros() == 480);
}

// The leader's VM becomes five times slower, and the others don't.
TEST_CASE("a slow VM detects that others are much faster") {
  const std::vector<double> others = {20, 100};
  CHECK(AnyMuchFaster(100, others));
  CHECK_FALSE(AnyMuchFaster(30, others));
}

TEST_CASE("unknown speeds are ignored") {
  const std::vector<double> unknown = {0, 0};
  CHECK_FALSE(AnyMuchFaster(100, unknown));
  const std::vector<double> others = {20};
  CHECK_FALSE(AnyMuchFaster(0, others));
}

}  // namespace azurespur::cell
