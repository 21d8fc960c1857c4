// Stand-in for the platform's list of live and leaving VMs.

#include <CLI/CLI.hpp>
#include <cstdint>
#include <memory>

#include "standins/program.h"
#include "standins/server.h"
#include "standins/timer.h"
#include "standins/vm_list_service.h"

using namespace azurespur;

namespace {

constexpr unsigned kThreads = 2;
constexpr unsigned kMaxConnections = 4096;

}  // namespace

int main(int argc, char** argv) {
  standins::BlockStopSignals();
  CLI::App app("Stand-in for the VM list");
  uint16_t port = 0;
  int64_t lag_ms = 0;
  app.add_option("--port", port, "Port to listen on, 0 picks one");
  app.add_option("--lag-ms", lag_ms, "Time until a change becomes visible")
      ->check(CLI::NonNegativeNumber);
  CLI11_PARSE(app, argc, argv);

  // Declared first because the threads of timer and server use it.
  std::unique_ptr<standins::VmListService> service;
  standins::Timer timer;
  service = std::make_unique<standins::VmListService>(lag_ms, timer);
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
  standins::PrintReady("vmlist", base::Value(bound));
  standins::WaitForStop();
  return 0;
}
