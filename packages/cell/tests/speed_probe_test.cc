#include "speed_probe.h"

#include <doctest/doctest.h>

#include <vector>

namespace azurespur::cell {

TEST_CASE("one slow measurement among three does not count") {
  SpeedProbe probe;
  probe.Add(20);
  CHECK(probe.WorkMicros() == 0);
  probe.Add(500);
  probe.Add(21);
  CHECK(probe.WorkMicros() == 21);
  probe.Add(480);
  CHECK(probe.WorkMicros() == 480);
}

// Pattern: the leader's VM turns five times slower and the others do not.
TEST_CASE("a slow VM sees that others are much faster") {
  const std::vector<double> others = {20, 100};
  CHECK(AnyMuchFaster(100, others));
  CHECK_FALSE(AnyMuchFaster(30, others));
}

TEST_CASE("unknown speeds decide nothing") {
  const std::vector<double> unknown = {0, 0};
  CHECK_FALSE(AnyMuchFaster(100, unknown));
  const std::vector<double> others = {20};
  CHECK_FALSE(AnyMuchFaster(0, others));
}

}  // namespace azurespur::cell
