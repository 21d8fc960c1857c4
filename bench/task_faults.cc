// Plays seeded fault runs over the real controllers in virtual time and prints
// what was violated. Usage: bench_task_faults FIRST_SEED LAST_SEED [--mix MIX]

#include <CLI/CLI.hpp>
#include <cstdint>
#include <iostream>
#include <map>
#include <string>

#include "fault_plan.h"

namespace {

constexpr int kExitUsage = 2;

}  // namespace

int main(int argc, char** argv) {
  using azurespur::control::FaultRun;
  CLI::App app("Seeded fault runs over the controllers in virtual time");
  uint64_t first = 1;
  uint64_t last = 200;
  app.add_option("first", first, "First seed");
  app.add_option("last", last, "Last seed");
  const std::map<std::string, azurespur::control::FaultMix> mixes = {
      {"usual", {}},
      {"late", azurespur::control::LateCalls()},
      {"returning", azurespur::control::ReturningWorkers()}};
  std::string mix = "usual";
  app.add_option("--mix", mix, "What the runs have beside the usual faults")
      ->check(CLI::IsMember(mixes));
  CLI11_PARSE(app, argc, argv);
  if (last < first) {
    std::cerr << "bench_task_faults: last: " << last
              << " is not allowed: at least first (" << first << ")\n";
    return kExitUsage;
  }
  FaultRun total;
  size_t violations = 0;
  for (uint64_t seed = first; seed <= last; ++seed) {
    const FaultRun run = azurespur::control::PlayFaults(seed, mixes.at(mix));
    for (const std::string& violation : run.verdict.violations) {
      std::cout << "seed=" << seed << " " << violation << "\n";
      ++violations;
    }
    total.kills += run.kills;
    total.pauses += run.pauses;
    total.cuts += run.cuts;
    total.outages += run.outages;
    total.worker_restarts += run.worker_restarts;
    total.workers_removed += run.workers_removed;
    total.workers_returned += run.workers_returned;
    total.accepted += run.accepted;
    total.verdict.finished += run.verdict.finished;
    total.verdict.failed += run.verdict.failed;
    total.verdict.may_have_run += run.verdict.may_have_run;
  }
  std::cout << "runs=" << last - first + 1 << " violations=" << violations
            << " accepted=" << total.accepted
            << " finished=" << total.verdict.finished
            << " failed=" << total.verdict.failed
            << " may_have_run=" << total.verdict.may_have_run
            << " kills=" << total.kills << " pauses=" << total.pauses
            << " cuts=" << total.cuts << " outages=" << total.outages
            << " worker_restarts=" << total.worker_restarts
            << " workers_removed=" << total.workers_removed
            << " workers_returned=" << total.workers_returned << "\n";
  return violations == 0 ? 0 : 1;
}
