#include <doctest/doctest.h>

#include <cstdint>

#include "fault_plan.h"

namespace azurespur::control {

TEST_CASE("no fault breaks a promise about tasks") {
  constexpr uint64_t kRuns = 200;
  for (uint64_t seed = 1; seed <= kRuns; ++seed) {
    const FaultRun run = PlayFaults(seed);
    CAPTURE(seed);
    for (const std::string& violation : run.verdict.violations) {
      CAPTURE(violation);
      CHECK(violation.empty());
    }
    CHECK(run.accepted > 0);
  }
}

}  // namespace azurespur::control
