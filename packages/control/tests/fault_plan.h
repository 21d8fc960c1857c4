// A seeded sequence of faults and tasks for a FakeCell.

#ifndef CONTROL_TESTS_FAULT_PLAN_H_
#define CONTROL_TESTS_FAULT_PLAN_H_

#include <cstdint>

#include "fake_checks.h"

namespace azurespur::control {

// What a sequence has beside or instead of the usual faults.
struct FaultMix {
  double late_calls = 0.01;  // Share of calls to workers.
  int64_t late_ms = 3000;    // How long after their timeout they land, at most.
  bool workers_return = false;  // Removed workers are listed again.
  double more_restarts = 0;     // Share of steps with one more worker restart.
};

// Calls land up to 15 s after they were sent, which outlasts a takeover, and
// workers restart often.
FaultMix LateCalls();

// Workers leave the VM list and return.
FaultMix ReturningWorkers();

struct FaultRun {
  FakeVerdict verdict;
  int kills = 0;
  int pauses = 0;
  int cuts = 0;
  int outages = 0;
  int worker_restarts = 0;
  int workers_removed = 0;
  int workers_returned = 0;
  size_t accepted = 0;
};

// Plays the faults of `seed`: kills, pauses longer than a lease, cuts of VMs
// from workers or log, log outages, worker restarts and losses, lost and late
// answers, repeated appends; often two at once. Ends with time to heal.
FaultRun PlayFaults(uint64_t seed, const FaultMix& mix = {});

}  // namespace azurespur::control

#endif  // CONTROL_TESTS_FAULT_PLAN_H_
