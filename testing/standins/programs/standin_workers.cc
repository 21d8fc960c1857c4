// Stand-in for the workers of one failure domain.

#include <CLI/CLI.hpp>

#include "standins/fleet_program.h"
#include "standins/program.h"
#include "standins/worker_fleet.h"

using namespace azurespur;

namespace {

using ProgramOptions =
    standins::FleetProgramOptions<standins::WorkerFleetOptions>;

void AddOptions(CLI::App& app, ProgramOptions& options) {
  standins::WorkerFleetOptions& fleet = options.fleet;
  app.add_option("--count", fleet.count, "Number of workers");
  app.add_option("--name-prefix", fleet.name_prefix, "Start of their ids");
  app.add_option("--domain", fleet.domain, "Failure domain");
  app.add_option("--racks-of", fleet.racks_of, "Workers in a rack")
      ->check(CLI::PositiveNumber);
  app.add_option("--cpu-millis", fleet.cpu_millis, "Capacity of each");
  app.add_option("--memory-mb", fleet.memory_mb, "Capacity of each");
  app.add_option("--accelerators", fleet.accelerators, "Capacity of each");
  app.add_option("--report-lag-ms", fleet.report_lag_ms, "Age of reports")
      ->check(CLI::NonNegativeNumber);
  app.add_option("--ended-retention-ms", fleet.ended_retention_ms,
                 "Time that ended tasks are reported")
      ->check(CLI::NonNegativeNumber);
  app.add_option("--vm-list-url", fleet.vm_list_url, "Where to register");
  app.add_option("--seed", fleet.seed, "Seed of the random faults");
  app.add_option("--control-port", options.control_port, "0 picks one");
  app.add_option("--journal", options.journal, "File to append events to");
  app.add_option("--journal-lines", options.journal_lines,
                 "Events kept for GET /journal");
  app.add_option("--threads", options.threads, "HTTP threads");
}

}  // namespace

int main(int argc, char** argv) {
  standins::BlockStopSignals();
  CLI::App app("Stand-in for workers");
  ProgramOptions options;
  AddOptions(app, options);
  CLI11_PARSE(app, argc, argv);
  return standins::RunFleet<standins::WorkerFleet>(options, "workers-control");
}
