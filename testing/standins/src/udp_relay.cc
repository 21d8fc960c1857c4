#include "standins/udp_relay.h"

#include <ace/Reactor.h>

#include <utility>

namespace azurespur::standins {

namespace {

constexpr size_t kMaxDatagramBytes = 64U << 10;

std::string Receive(const ACE_SOCK_Dgram& socket, ACE_INET_Addr& from) {
  std::string datagram(kMaxDatagramBytes, '\0');
  const ssize_t size = socket.recv(datagram.data(), datagram.size(), from);
  datagram.resize(size > 0 ? static_cast<size_t>(size) : 0);
  return datagram;
}

}  // namespace

UdpRelay::UdpRelay(RelayLink& link, std::mutex& mutex, Timer& timer)
    : m_link(link), m_mutex(mutex), m_timer(timer) {}

UdpRelay::~UdpRelay() {
  m_socket.close();
}

bool UdpRelay::Open(ACE_Reactor* target, uint16_t port) {
  if (m_socket.open(ACE_INET_Addr(port, INADDR_LOOPBACK)) != 0) {
    return false;
  }
  m_socket.enable(ACE_NONBLOCK);
  reactor(target);
  target->register_handler(this, ACE_Event_Handler::READ_MASK);
  return true;
}

ACE_HANDLE UdpRelay::get_handle() const {
  return m_socket.get_handle();
}

int UdpRelay::handle_input(ACE_HANDLE /*handle*/) {
  std::lock_guard<std::mutex> lock(m_mutex);
  ACE_INET_Addr sender;
  std::string datagram = Receive(m_socket, sender);
  if (!datagram.empty()) {
    Forward(FindReturn(sender).socket(), std::move(datagram), m_link.target);
  }
  return 0;
}

UdpRelay::Return& UdpRelay::FindReturn(const ACE_INET_Addr& sender) {
  auto& kept = m_returns[sender.get_port_number()];
  if (!kept) {
    kept = std::make_unique<Return>(*this, sender);
    reactor()->register_handler(kept.get(), ACE_Event_Handler::READ_MASK);
  }
  return *kept;
}

void UdpRelay::Forward(ACE_SOCK_Dgram& socket,
                       std::string datagram,
                       const ACE_INET_Addr& to) {
  if (m_link.cut) {
    return;
  }
  // Sockets live as long as the relay, which outlives the timer's actions.
  m_timer.After(base::Millis(m_link.delay_ms),
                [&socket, datagram = std::move(datagram), to] {
                  socket.send(datagram.data(), datagram.size(), to);
                });
}

UdpRelay::Return::Return(UdpRelay& relay, const ACE_INET_Addr& sender)
    : m_relay(relay), m_sender(sender) {
  m_socket.open(ACE_INET_Addr(static_cast<u_short>(0), INADDR_LOOPBACK));
  m_socket.enable(ACE_NONBLOCK);
}

UdpRelay::Return::~Return() {
  m_socket.close();
}

ACE_HANDLE UdpRelay::Return::get_handle() const {
  return m_socket.get_handle();
}

int UdpRelay::Return::handle_input(ACE_HANDLE /*handle*/) {
  std::lock_guard<std::mutex> lock(m_relay.m_mutex);
  ACE_INET_Addr from;
  std::string datagram = Receive(m_socket, from);
  if (!datagram.empty()) {
    m_relay.Forward(m_relay.m_socket, std::move(datagram), m_sender);
  }
  return 0;
}

}  // namespace azurespur::standins
