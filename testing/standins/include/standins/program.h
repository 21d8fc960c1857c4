// What the programs of the stand-ins have in common.

#ifndef STANDINS_PROGRAM_H_
#define STANDINS_PROGRAM_H_

#include <cstdint>
#include <string_view>

namespace azurespur::standins {

// Blocks SIGTERM and SIGINT for all threads. Call first in main().
void BlockStopSignals();

// Waits for SIGTERM or SIGINT.
void WaitForStop();

// Prints "READY NAME PORT" on a line of its own.
void PrintReady(std::string_view name, uint16_t port);

// Prints the message on standard error and returns the exit code for it.
int FailStart(std::string_view message);

}  // namespace azurespur::standins

#endif  // STANDINS_PROGRAM_H_
