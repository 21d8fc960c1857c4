// Picks ports for processes that want them as settings.

#ifndef SCENARIO_FREE_PORT_H_
#define SCENARIO_FREE_PORT_H_

#include <cstdint>

namespace azurespur::scenario {

// A port of 127.0.0.1 that is free for TCP and UDP, or 0.
uint16_t FindFreePort();

}  // namespace azurespur::scenario

#endif  // SCENARIO_FREE_PORT_H_
