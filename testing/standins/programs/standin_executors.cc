// Stand-in for the executors of one failure domain.

#include <CLI/CLI.hpp>

#include "standins/executor_fleet.h"
#include "standins/fleet_program.h"
#include "standins/program.h"

using namespace azurespur;

namespace {

using ProgramOptions =
    standins::FleetProgramOptions<standins::ExecutorFleetOptions>;

void AddOptions(CLI::App& app, ProgramOptions& options) {
  standins::ExecutorFleetOptions& fleet = options.fleet;
  app.add_option("--count", fleet.count, "Number of executors");
  app.add_option("--name-prefix", fleet.name_prefix, "Start of their ids");
  app.add_option("--domain", fleet.domain, "Failure domain");
  app.add_option("--slots", fleet.slots, "Requests in work at once")
      ->check(CLI::PositiveNumber);
  app.add_option("--connections", fleet.connections, "Connections at once")
      ->check(CLI::PositiveNumber);
  app.add_option("--median-ms", fleet.times.median_ms, "Median service time")
      ->check(CLI::NonNegativeNumber);
  app.add_option("--straggler-share", fleet.times.straggler_share,
                 "Share of requests that take longer")
      ->check(CLI::Range(0.0, 1.0));
  app.add_option("--straggler-factor", fleet.times.straggler_factor,
                 "How many times longer")
      ->check(CLI::PositiveNumber);
  app.add_option("--vm-list-url", fleet.vm_list_url, "Where to register");
  app.add_option("--seed", fleet.seed, "Seed of service times and faults");
  app.add_option("--control-port", options.control_port, "0 picks one");
  app.add_option("--journal", options.journal, "File to append events to");
  app.add_option("--journal-lines", options.journal_lines,
                 "Events kept for GET /journal");
  app.add_option("--threads", options.threads, "HTTP threads");
}

}  // namespace

int main(int argc, char** argv) {
  standins::BlockStopSignals();
  CLI::App app("Stand-in for executors");
  ProgramOptions options;
  AddOptions(app, options);
  CLI11_PARSE(app, argc, argv);
  return standins::RunFleet<standins::ExecutorFleet>(options,
                                                     "executors-control");
}
