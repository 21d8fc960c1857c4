// Plays a crest of the load on a leader in virtual time and prints the
// processor time of each start, by duty. Log lines go to standard output, the
// figures to standard error.

#include <CLI/CLI.hpp>
#include <cstdint>
#include <iostream>

#include "base/event_log.h"
#include "crest_cell.h"
#include "http_calls.h"

namespace azurespur::jobs {
namespace {

constexpr double kNanosPerMicro = 1000;

void Print(const CrestCell& cell, const PlanCounts& before, int seconds) {
  const auto starts = static_cast<double>(cell.starts());
  const PlanCounts& plans = cell.plans();
  double total = 0;
  for (size_t i = 0; i < kDutyNames.size(); ++i) {
    const double micros =
        static_cast<double>(cell.duties().Nanos(static_cast<Duty>(i))) /
        kNanosPerMicro / starts;
    total += micros;
    std::cerr << kDutyNames[i] << ": " << micros << " us a start\n";
  }
  std::cerr << "all of the node's thread: " << total << " us a start\n"
            << cell.starts() / seconds << " starts/s, "
            << cell.holds() / seconds << " holds/s, "
            << cell.answers() / seconds << " advice answers/s, "
            << (plans.full_plans - before.full_plans) / seconds
            << " full plans/s, "
            << static_cast<double>(plans.workers_examined -
                                   before.workers_examined) /
                   starts
            << " workers examined a start, " << cell.CountWaitingSteps()
            << " steps waiting at the end\n";
}

}  // namespace
}  // namespace azurespur::jobs

int main(int argc, char** argv) {
  CLI::App app("processor time of a leader in a crest");
  int workers = 350;
  int vms = 31;
  int seconds = 8;
  int warm_up = 6;
  int calls = 4000;
  int log_lines = 100;
  double jobs = 120;
  uint64_t seed = 7;
  app.add_option("--workers", workers);
  app.add_option("--vms", vms);
  app.add_option("--jobs", jobs, "jobs a second");
  app.add_option("--warm-up", warm_up, "seconds before the figures");
  app.add_option("--seconds", seconds, "seconds with figures");
  app.add_option("--calls", calls, "HTTP calls to a local server; 0: none");
  app.add_option("--log-lines", log_lines, "a second");
  app.add_option("--seed", seed);
  CLI11_PARSE(app, argc, argv);
  azurespur::base::StartJsonEvents(log_lines);
  azurespur::jobs::CrestCell cell(workers, vms, jobs, seed);
  cell.Run(azurespur::base::Millis{1000 * warm_up});
  cell.ResetFigures();
  const azurespur::jobs::PlanCounts before = cell.plans();
  cell.Run(azurespur::base::Millis{1000 * seconds});
  azurespur::base::StopJsonEvents();
  azurespur::jobs::Print(cell, before, seconds);
  if (calls > 0) {
    std::cerr << "an HTTP call on a fresh connection: "
              << azurespur::jobs::MicrosPerCall(calls, /*fresh=*/true)
              << " us, on a kept one: "
              << azurespur::jobs::MicrosPerCall(calls, /*fresh=*/false)
              << " us\n";
  }
  return 0;
}
