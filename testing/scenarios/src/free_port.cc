#include "free_port.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <random>

namespace azurespur::scenario {

namespace {

constexpr int kAttempts = 100;
// Below the ports that the kernel gives to outgoing connections, so that none
// of them takes a port between its choice and its use.
constexpr uint16_t kFirstPort = 20000;
constexpr uint16_t kPorts = 12000;

// Each port once, from a random one on: scenarios may run at the same time.
uint16_t NextPort() {
  static std::atomic<uint32_t> next{std::random_device{}() % kPorts};
  return static_cast<uint16_t>(kFirstPort + next++ % kPorts);
}

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
    const uint16_t port = NextPort();
    const bool free = Bind(tcp, port) == port && Bind(udp, port) == port;
    close(tcp);
    close(udp);
    if (free) {
      return port;
    }
  }
  return 0;
}

}  // namespace azurespur::scenario
