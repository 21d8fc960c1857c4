#include "free_port.h"

#include <doctest/doctest.h>

#include <cstdint>
#include <fstream>
#include <set>

namespace azurespur::scenario {

// Guards against a process that can't bind its address, since an outgoing
// connection of another one was given the port meanwhile.
TEST_CASE("a free port is none that the kernel gives to connections") {
  std::ifstream range("/proc/sys/net/ipv4/ip_local_port_range");
  int first = 0;
  range >> first;
  REQUIRE(range.good());
  std::set<uint16_t> ports;
  for (int i = 0; i < 50; ++i) {
    const uint16_t port = FindFreePort();
    CHECK(port > 0);
    CHECK(port < first);
    CHECK(ports.insert(port).second);
  }
}

}  // namespace azurespur::scenario
