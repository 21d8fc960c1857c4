// Main part shared by the programs that host a fleet of stand-ins.

#ifndef STANDINS_FLEET_PROGRAM_H_
#define STANDINS_FLEET_PROGRAM_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "base/outcome.h"
#include "standins/journal.h"
#include "standins/program.h"
#include "standins/server.h"
#include "standins/timer.h"

namespace azurespur::standins {

template <typename FleetOptions>
struct FleetProgramOptions {
  FleetOptions fleet;
  uint16_t control_port = 0;
  std::string journal;
  size_t journal_lines = 1'000'000;
  unsigned threads = 4;
};

// Runs a fleet until the process is told to stop. Returns the exit code.
template <typename Fleet, typename FleetOptions>
int RunFleet(const FleetProgramOptions<FleetOptions>& options,
             std::string_view control_name) {
  constexpr unsigned kMaxConnections = 256;

  Journal journal(options.journal, options.journal_lines);
  if (!journal.Good()) {
    return FailStart("--journal: \"" + options.journal + "\" can't be written");
  }
  // Declared first because the threads of timer and server use it.
  std::unique_ptr<Fleet> fleet;
  Timer timer;
  auto server = StartServer(options.threads);
  if (!base::Ok(server)) {
    return FailStart(base::GetError(server).message);
  }
  fleet = std::make_unique<Fleet>(options.fleet, *base::Value(server), timer,
                                  journal);
  const auto started = fleet->Start();
  if (!base::Ok(started)) {
    return FailStart(base::GetError(started).message);
  }
  const auto control = base::Value(server)->Listen(
      options.control_port, kMaxConnections,
      [&](auto request, auto reply) { fleet->HandleControl(request, *reply); });
  if (!base::Ok(control)) {
    return FailStart(base::GetError(control).message);
  }
  PrintReady(control_name, base::Value(control));
  WaitForStop();
  return 0;
}

}  // namespace azurespur::standins

#endif  // STANDINS_FLEET_PROGRAM_H_
