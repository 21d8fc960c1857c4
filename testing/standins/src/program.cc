#include "standins/program.h"

#include <csignal>
#include <iostream>

namespace azurespur::standins {

namespace {

sigset_t StopSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  return signals;
}

}  // namespace

void BlockStopSignals() {
  const sigset_t signals = StopSignals();
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

void WaitForStop() {
  const sigset_t signals = StopSignals();
  int received = 0;
  sigwait(&signals, &received);
}

void PrintReady(std::string_view name, uint16_t port) {
  std::cout << "READY " << name << ' ' << port << '\n' << std::flush;
}

int FailStart(std::string_view message) {
  std::cerr << message << '\n';
  return 1;
}

}  // namespace azurespur::standins
