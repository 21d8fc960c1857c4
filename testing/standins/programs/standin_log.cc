// Stand-in for the platform's log service.

#include <CLI/CLI.hpp>
#include <cstdint>
#include <memory>

#include "standins/log_service.h"
#include "standins/program.h"
#include "standins/server.h"
#include "standins/timer.h"

using namespace azurespur;

namespace {

constexpr unsigned kThreads = 4;
constexpr unsigned kMaxConnections = 4096;

}  // namespace

int main(int argc, char** argv) {
  standins::BlockStopSignals();
  CLI::App app("Stand-in for the log service");
  standins::LogOptions options;
  uint16_t port = 0;
  app.add_option("--port", port, "Port to listen on, 0 picks one");
  app.add_option("--append-rate", options.appends_per_second,
                 "Appends taken per second")
      ->check(CLI::PositiveNumber);
  app.add_option("--retention-ms", options.retention_ms,
                 "Age at which records are dropped, 0 for never")
      ->check(CLI::NonNegativeNumber);
  app.add_option("--seed", options.seed, "Seed of the random faults");
  CLI11_PARSE(app, argc, argv);

  // Declared first because the threads of timer and server use it.
  std::unique_ptr<standins::LogService> service;
  standins::Timer timer;
  service = std::make_unique<standins::LogService>(options, timer);
  auto server = standins::StartServer(kThreads);
  if (!base::Ok(server)) {
    return standins::FailStart(base::GetError(server).message);
  }
  const auto bound = base::Value(server)->Listen(
      port, kMaxConnections, [&](auto request, auto reply) {
        service->Handle(std::move(request), std::move(reply));
      });
  if (!base::Ok(bound)) {
    return standins::FailStart(base::GetError(bound).message);
  }
  standins::PrintReady("log", base::Value(bound));
  standins::WaitForStop();
  return 0;
}
