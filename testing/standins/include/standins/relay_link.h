// State of one relay link, shared by its TCP and UDP halves. Guarded by the
// relay's mutex.

#ifndef STANDINS_RELAY_LINK_H_
#define STANDINS_RELAY_LINK_H_

#include <ace/INET_Addr.h>

#include <cstdint>
#include <string>

namespace azurespur::standins {

struct RelayLink {
  std::string name;
  uint16_t port = 0;
  ACE_INET_Addr target;
  bool cut = false;    // UDP is dropped, TCP stalls.
  bool reset = false;  // While cut, TCP connections are closed instead.
  int64_t delay_ms = 0;
};

}  // namespace azurespur::standins

#endif  // STANDINS_RELAY_LINK_H_
