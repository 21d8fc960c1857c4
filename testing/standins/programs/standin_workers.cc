// Stand-in for the workers of one failure domain.

#include <CLI/CLI.hpp>
#include <cstdint>
#include <memory>

#include "standins/journal.h"
#include "standins/program.h"
#include "standins/server.h"
#include "standins/timer.h"
#include "standins/worker_fleet.h"

using namespace azurespur;

namespace {

constexpr unsigned kMaxConnections = 256;

struct ProgramOptions {
  standins::WorkerFleetOptions fleet;
  uint16_t control_port = 0;
  std::string journal;
  size_t journal_lines = 1'000'000;
  unsigned threads = 4;
};

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

  standins::Journal journal(options.journal, options.journal_lines);
  if (!journal.Good()) {
    return standins::FailStart("--journal: \"" + options.journal +
                               "\" can't be written");
  }
  // Declared first because the threads of timer and server use it.
  std::unique_ptr<standins::WorkerFleet> fleet;
  standins::Timer timer;
  auto server = standins::StartServer(options.threads);
  if (!base::Ok(server)) {
    return standins::FailStart(base::GetError(server).message);
  }
  fleet = std::make_unique<standins::WorkerFleet>(
      options.fleet, *base::Value(server), timer, journal);
  const auto started = fleet->Start();
  if (!base::Ok(started)) {
    return standins::FailStart(base::GetError(started).message);
  }
  const auto control = base::Value(server)->Listen(
      options.control_port, kMaxConnections,
      [&](auto request, auto reply) { fleet->HandleControl(request, *reply); });
  if (!base::Ok(control)) {
    return standins::FailStart(base::GetError(control).message);
  }
  standins::PrintReady("workers-control", base::Value(control));
  standins::WaitForStop();
  return 0;
}
