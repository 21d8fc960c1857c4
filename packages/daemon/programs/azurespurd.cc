// azurespurd: the daemon on each entry VM.

#include <malloc.h>

#include <csignal>
#include <iostream>
#include <string_view>
#include <variant>

#include "base/event_log.h"
#include "daemon/daemon.h"
#include "daemon/settings.h"
#include "platform/platform_program.h"

namespace {

constexpr int kExitFailure = 1;
// Each further arena of the allocator keeps pages that other threads could use.
constexpr int kMallocArenas = 2;

// Blocks the stop signals in this thread and all that it starts.
sigset_t BlockStopSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  return signals;
}

int Run(const azurespur::daemon::Settings& settings, const sigset_t& signals) {
  azurespur::daemon::Daemon daemon(settings);
  const auto started = daemon.Start();
  if (!azurespur::base::Ok(started)) {
    std::cerr << "azurespurd: " << azurespur::base::GetError(started).message
              << '\n';
    return kExitFailure;
  }
  int signal = 0;
  sigwait(&signals, &signal);
  return daemon.Shutdown() ? 0 : kExitFailure;
}

}  // namespace

int main(int argc, char** argv) {
  if (argc > 1 && std::string_view(argv[1]) == "platform") {
    return azurespur::platform::RunPlatformProgram(argc - 1, argv + 1);
  }
  using azurespur::daemon::EarlyExit;
  const auto parsed = azurespur::daemon::ParseSettings(argc, argv);
  if (const auto* exit = std::get_if<EarlyExit>(&parsed)) {
    (exit->exit_code == 0 ? std::cout : std::cerr) << exit->text << '\n';
    return exit->exit_code;
  }
  const auto& settings = std::get<azurespur::daemon::Settings>(parsed);
  if (settings.check_only) {
    std::cout << "settings are valid\n";
    return 0;
  }
  mallopt(M_ARENA_MAX, kMallocArenas);
  const sigset_t signals = BlockStopSignals();
  std::signal(SIGPIPE, SIG_IGN);
  azurespur::base::InitEventLog(argv[0]);
  return Run(settings, signals);
}
