#include "free_port.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace azurespur::scenario {

namespace {

constexpr int kAttempts = 100;

// Returns the bound port, or 0.
uint16_t Bind(int fd, uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof(address);
  auto* generic = reinterpret_cast<sockaddr*>(&address);
  if (bind(fd, generic, size) != 0 || getsockname(fd, generic, &size) != 0) {
    return 0;
  }
  return ntohs(address.sin_port);
}

}  // namespace

uint16_t FindFreePort() {
  for (int attempt = 0; attempt < kAttempts; ++attempt) {
    const int tcp = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int udp = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
    const uint16_t port = Bind(tcp, 0);
    const bool free = port != 0 && Bind(udp, port) == port;
    close(tcp);
    close(udp);
    if (free) {
      return port;
    }
  }
  return 0;
}

}  // namespace azurespur::scenario
