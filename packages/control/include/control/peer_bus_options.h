// Settings of the messages between daemons.

#ifndef CONTROL_PEER_BUS_OPTIONS_H_
#define CONTROL_PEER_BUS_OPTIONS_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

#include "base/clock.h"
#include "base/outcome.h"

namespace azurespur::base {
class Metrics;
}

namespace azurespur::control {

class PeerBus;
class VmDirectory;

struct PeerBusOptions {
  std::string vm_id;
  std::string domain;
  uint64_t incarnation = 1;
  std::string address = "127.0.0.1";  // IPv4 literal for UDP and TCP.
  uint16_t port = 0;
  base::Millis heartbeat_interval{200};       // Inside the domain.
  base::Millis far_heartbeat_interval{1000};  // To other domains.
  base::Millis suspect_after{1000};
  base::Millis far_suspect_after{4000};
  size_t queue_size = 2048;
};

}  // namespace azurespur::control

#endif  // CONTROL_PEER_BUS_OPTIONS_H_
