// PeerBus over UDP and TCP, run by an ACE reactor on one thread.

#ifndef CONTROL_PEER_SERVICE_H_
#define CONTROL_PEER_SERVICE_H_

#include "control/peer_bus.h"
#include "control/peer_bus_options.h"

namespace azurespur::control {

class PeerService : public PeerBus {
 public:
  // Binds the UDP and TCP port and starts the thread. Errors: kUnavailable
  // (port in use), kInvalid (address).
  virtual base::Outcome<base::Unit> Start() = 0;
  virtual void Stop() = 0;

  // Tells peers with every heartbeat that this VM is shutting down.
  virtual void SetDraining() = 0;

  virtual uint16_t port() const = 0;
};

// `directory`, `clock` and `metrics` must outlive the service.
std::unique_ptr<PeerService> MakePeerService(const PeerBusOptions& options,
                                             const VmDirectory& directory,
                                             const base::Clock& clock,
                                             base::Metrics& metrics);

}  // namespace azurespur::control

#endif  // CONTROL_PEER_SERVICE_H_
