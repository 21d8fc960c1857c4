// Encodes messages for other VMs, sends them and counts them by kind.

#ifndef CELL_SRC_PEER_SENDER_H_
#define CELL_SRC_PEER_SENDER_H_

#include <array>
#include <span>
#include <string>
#include <string_view>
#include <variant>

#include "base/link_queue.h"
#include "base/metrics.h"
#include "cell/messages.h"
#include "cell/node_dependencies.h"

namespace azurespur::cell {

// Thread-safe.
class PeerSender {
 public:
  // `uplink` counts the bytes that are sent; null: they aren't counted.
  PeerSender(DatagramTransport& datagrams,
             base::Metrics& metrics,
             base::LinkQueue* uplink = nullptr);

  // `address` is "IP:PORT".
  void Send(std::string_view address, const Message& message);
  void SendToAll(std::span<const std::string> addresses,
                 const Message& message);

  // How long a datagram that is sent now would wait for the link.
  base::Micros LinkWait() const;

 private:
  struct Counters {
    base::Counter* datagrams = nullptr;
    base::Counter* bytes = nullptr;
  };

  std::string Encode(const Message& message);
  void SendBytes(std::string_view address,
                 std::string_view bytes,
                 const Counters& counters);

  DatagramTransport& m_datagrams;
  base::LinkQueue* const m_uplink;
  base::Counter& m_encoded;
  base::Counter& m_not_sent;
  std::array<Counters, std::variant_size_v<Message>> m_counters;
};

}  // namespace azurespur::cell

#endif  // CELL_SRC_PEER_SENDER_H_
