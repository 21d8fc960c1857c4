#include <doctest/doctest.h>

#include <cstdint>

#include "fault_plan.h"

namespace azurespur::control {

namespace {

void PlayRuns(uint64_t runs, const FaultMix& mix) {
  for (uint64_t seed = 1; seed <= runs; ++seed) {
    const FaultRun run = PlayFaults(seed, mix);
    CAPTURE(seed);
    for (const std::string& violation : run.verdict.violations) {
      CAPTURE(violation);
      CHECK(violation.empty());
    }
    CHECK(run.accepted > 0);
  }
}

}  // namespace

TEST_CASE("no fault breaks a promise about tasks") {
  PlayRuns(200, {});
}

// Guards against calls that act on a later boot or under a later owner of the
// worker.
TEST_CASE("no call that lands late breaks a promise about tasks") {
  PlayRuns(100, LateCalls());
}

// Guards against taking a life of a worker for another one.
TEST_CASE("no worker that is listed again breaks a promise about tasks") {
  PlayRuns(100, ReturningWorkers());
}

}  // namespace azurespur::control
