// Messages between daemons, and who among them was heard lately.

#ifndef CONTROL_PEER_BUS_H_
#define CONTROL_PEER_BUS_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "base/outcome.h"
#include "wire/peer_message.h"

namespace azurespur::control {

// Suspicion steers routing and shares; it is never proof of death.
struct Peer {
  std::string id;
  std::string domain;
  std::string address;       // HTTP, "IP:PORT".
  std::string peer_address;  // "IP:PORT".
  uint64_t incarnation = 0;  // 0 until heard.
  int64_t silent_ms = 0;     // Since the last heartbeat; large if never heard.
  bool suspected = true;
  bool draining = false;  // Said that it is shutting down.
};

class PeerBus {
 public:
  using Handler = std::function<void(const wire::PeerMessage&)>;
  // Answers a request; runs on the peers' thread and must not block.
  using Answerer =
      std::function<base::Outcome<std::string>(const wire::PeerMessage&)>;
  using Done = std::function<void(base::Outcome<std::string>)>;

  virtual ~PeerBus() = default;

  // Call before Start. Handlers run on the peers' thread and must not block.
  virtual void Subscribe(wire::Topic topic, Handler handler) = 0;
  virtual void SetAnswerer(wire::Topic topic, Answerer answerer) = 0;

  // One UDP datagram, at most 32 KiB; may be lost, repeated or late. Returns
  // false if the peer is unknown or the queue is full.
  virtual bool Send(std::string_view vm,
                    wire::Topic topic,
                    std::string payload) = 0;

  // Request and answer over TCP, any size up to 64 MiB. `done` runs on the
  // peers' thread. Returns false, without calling `done`, if the peer is
  // unknown or the queue is full.
  virtual bool Request(std::string_view vm,
                       wire::Topic topic,
                       std::string payload,
                       base::Millis timeout,
                       Done done) = 0;

  // All other entry VMs on the VM list, this one excluded, sorted by id.
  virtual std::vector<Peer> Peers() const = 0;

  // Place of this VM, by id, among the unsuspected, not draining entry VMs of
  // its domain; 0 is the lowest.
  virtual size_t RankInDomain() const = 0;
};

}  // namespace azurespur::control

#endif  // CONTROL_PEER_BUS_H_
