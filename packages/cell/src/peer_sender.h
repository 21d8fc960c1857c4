// Encodes messages for other VMs, sends them and counts them by kind.

#ifndef CELL_SRC_PEER_SENDER_H_
#define CELL_SRC_PEER_SENDER_H_

#include <array>
#include <span>
#include <string>
#include <string_view>
#include <variant>

#include "base/metrics.h"
#include "cell/messages.h"
#include "cell/node_dependencies.h"

namespace azurespur::cell {

// Thread-safe.
class PeerSender {
 public:
  PeerSender(DatagramTransport& datagrams, base::Metrics& metrics);

  // `address` is "IP:PORT".
  void Send(std::string_view address, const Message& message);
  void SendToAll(std::span<const std::string> addresses,
                 const Message& message);

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
  base::Counter& m_encoded;
  base::Counter& m_not_sent;
  std::array<Counters, std::variant_size_v<Message>> m_counters;
};

}  // namespace azurespur::cell

#endif  // CELL_SRC_PEER_SENDER_H_
