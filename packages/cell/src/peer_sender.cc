#include "peer_sender.h"

#include "wire/codec.h"

namespace azurespur::cell {

namespace {

// In the order of the alternatives of Message.
// In the order of the alternatives of Message.
constexpr auto kKinds = std::to_array<std::string_view>({
    "records",
    "leader_heartbeat",
    "follower_heartbeat",
    "advice",
    "advice_reply",
    "records_request",
    "forward",
    "forward_reply",
    "policy_notice",
    "ends",
    "policy_request",
    "policy_segment",
    "policy_offer",
    "admission_notice",
    "open_job_request",
    "open_job_reply",
});
static_assert(kKinds.size() == std::variant_size_v<Message>);

// Ethernet, IPv4 and UDP.
constexpr size_t kPacketHeaderBytes = 42;

std::string MetricName(std::string_view name, std::string_view kind) {
  return std::string(name) + "{kind=\"" + std::string(kind) + "\"}";
}

}  // namespace

PeerSender::PeerSender(DatagramTransport& datagrams,
                       base::Metrics& metrics,
                       base::LinkQueue* uplink)
    : m_datagrams(datagrams),
      m_uplink(uplink),
      m_encoded(metrics.GetCounter("azurespur_messages_encoded_total")),
      m_not_sent(metrics.GetCounter("azurespur_datagrams_not_sent_total")) {
  for (size_t i = 0; i < kKinds.size(); ++i) {
    m_counters[i].datagrams = &metrics.GetCounter(
        MetricName("azurespur_datagrams_sent_total", kKinds[i]));
    m_counters[i].bytes = &metrics.GetCounter(
        MetricName("azurespur_datagram_bytes_sent_total", kKinds[i]));
  }
}

std::string PeerSender::Encode(const Message& message) {
  m_encoded.Add(1);
  return wire::Encode(message);
}

void PeerSender::Send(std::string_view address, const Message& message) {
  SendBytes(address, Encode(message), m_counters[message.index()]);
}

void PeerSender::SendToAll(std::span<const std::string> addresses,
                           const Message& message) {
  const std::string bytes = Encode(message);
  for (const std::string& address : addresses) {
    SendBytes(address, bytes, m_counters[message.index()]);
  }
}

base::Micros PeerSender::LinkWait() const {
  return m_uplink != nullptr ? m_uplink->Wait() : base::Micros{0};
}

void PeerSender::SendBytes(std::string_view address,
                           std::string_view bytes,
                           const Counters& counters) {
  if (!m_datagrams.Send(address, bytes)) {
    m_not_sent.Add(1);
    return;
  }
  if (m_uplink != nullptr) {
    m_uplink->Add(bytes.size() + kPacketHeaderBytes);
  }
  counters.datagrams->Add(1);
  counters.bytes->Add(static_cast<int64_t>(bytes.size()));
}

}  // namespace azurespur::cell
