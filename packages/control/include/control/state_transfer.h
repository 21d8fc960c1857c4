// Passes the state of the log streams between VMs of a failure domain, so that
// a fresh VM can serve while the log is away.

#ifndef CONTROL_STATE_TRANSFER_H_
#define CONTROL_STATE_TRANSFER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"

namespace azurespur::control {

class LogChannel;
class LogObserver;
class PeerBus;

// One stream and what is built from it.
struct StateSource {
  std::string stream;
  LogChannel* channel = nullptr;
  LogObserver* observer = nullptr;
};

class StateTransfer {
 public:
  // Makes this VM answer peers that ask for its state; call before the bus
  // starts. All arguments must outlive the transfer.
  StateTransfer(std::string domain,
                std::vector<StateSource> sources,
                PeerBus& peers);

  // Asks the live peers of the domain in turn for the state of `stream` and
  // loads the first that is given. Returns the offset from which to read on;
  // empty if no peer gave it. Blocks up to `timeout` for each peer.
  std::optional<uint64_t> LoadFromPeers(const std::string& stream,
                                        base::Millis timeout);

 private:
  const StateSource* Find(const std::string& stream) const;

  const std::string m_domain;
  const std::vector<StateSource> m_sources;
  PeerBus& m_peers;
};

}  // namespace azurespur::control

#endif  // CONTROL_STATE_TRANSFER_H_
