#include "jobs/run_phase.h"

#include <doctest/doctest.h>

#include <array>

namespace azurespur::jobs {

namespace {

constexpr std::array kPhases = {
    RunPhase::kBinding, RunPhase::kStarting,     RunPhase::kAdopted,
    RunPhase::kRunning, RunPhase::kStartUnknown, RunPhase::kStopConfirmed,
    RunPhase::kOver};

}  // namespace

// Guards against a run that is given up, and its task started again, since the
// directory or a report tells of another boot of its worker.
TEST_CASE("a restart alone ends no run") {
  for (RunPhase phase : kPhases) {
    if (phase == RunPhase::kOver) {
      continue;
    }
    CHECK(NextPhase(phase, RunEvent::kRestarted) != RunPhase::kOver);
    CHECK(NextPhase(phase, RunEvent::kRestartedSendOpen) != RunPhase::kOver);
  }
}

TEST_CASE("a run whose send is open is not running after a restart") {
  for (RunPhase phase : {RunPhase::kStarting, RunPhase::kRunning,
                         RunPhase::kStartUnknown, RunPhase::kStopConfirmed}) {
    CHECK(NextPhase(phase, RunEvent::kRestartedSendOpen) ==
          RunPhase::kStartUnknown);
  }
}

TEST_CASE("an answer in doubt ends no run") {
  for (RunPhase phase : kPhases) {
    const RunPhase next = NextPhase(phase, RunEvent::kStartInDoubt);
    CHECK((next != RunPhase::kOver || phase == RunPhase::kOver));
  }
}

// A report can't list a run that was not confirmed when it was asked for.
TEST_CASE("a report ends no run whose start was not answered") {
  CHECK(NextPhase(RunPhase::kBinding, RunEvent::kMissing) ==
        RunPhase::kBinding);
  CHECK(NextPhase(RunPhase::kStarting, RunEvent::kMissing) ==
        RunPhase::kStarting);
}

// Guards against a task that is started elsewhere while a start without answer
// may still begin it on a boot that no call has reached.
TEST_CASE("a report without the run ends none whose send is open") {
  for (RunPhase phase : kPhases) {
    const RunPhase next = NextPhase(phase, RunEvent::kMissingSendOpen);
    CHECK((next != RunPhase::kOver || phase == RunPhase::kOver));
  }
  CHECK(NextPhase(RunPhase::kAdopted, RunEvent::kMissingSendOpen) ==
        RunPhase::kStartUnknown);
}

TEST_CASE("a run that is over stays so") {
  for (RunEvent event : {RunEvent::kStartSent, RunEvent::kStartAccepted,
                         RunEvent::kListed, RunEvent::kStopAnswered,
                         RunEvent::kRestarted, RunEvent::kStartInDoubt}) {
    CHECK(NextPhase(RunPhase::kOver, event) == RunPhase::kOver);
  }
}

}  // namespace azurespur::jobs
