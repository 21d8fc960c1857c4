// A seeded sequence of faults and tasks for a FakeCell.

#ifndef CONTROL_TESTS_FAULT_PLAN_H_
#define CONTROL_TESTS_FAULT_PLAN_H_

#include <cstdint>

#include "fake_checks.h"

namespace azurespur::control {

struct FaultRun {
  FakeVerdict verdict;
  int kills = 0;
  int pauses = 0;
  int cuts = 0;
  int outages = 0;
  int worker_restarts = 0;
  int workers_removed = 0;
  size_t accepted = 0;
};

// Plays the faults of `seed`: kills, pauses longer than a lease, cuts of VMs
// from workers or log, log outages, worker restarts and losses, lost and late
// answers, repeated appends; often two at once. Ends with time to heal.
FaultRun PlayFaults(uint64_t seed);

}  // namespace azurespur::control

#endif  // CONTROL_TESTS_FAULT_PLAN_H_
