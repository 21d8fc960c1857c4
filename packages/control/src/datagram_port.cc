#include "datagram_port.h"

#include <ace/INET_Addr.h>
#include <ace/Reactor.h>

#include <array>
#include <utility>

namespace azurespur::control {

namespace {

constexpr size_t kMaxDatagramBytes = 64 << 10;
constexpr int kMaxDatagramsPerCall = 256;

}  // namespace

DatagramPort::DatagramPort(OnDatagram on_datagram)
    : m_on_datagram(std::move(on_datagram)) {}

DatagramPort::~DatagramPort() {
  Close();
}

bool DatagramPort::Open(ACE_Reactor& reactor, const ACE_INET_Addr& address) {
  if (m_socket.open(address) == -1) {
    return false;
  }
  m_socket.enable(ACE_NONBLOCK);
  return reactor.register_handler(this, READ_MASK) == 0;
}

void DatagramPort::Close() {
  if (m_socket.get_handle() != ACE_INVALID_HANDLE) {
    reactor()->remove_handler(this, ALL_EVENTS_MASK | DONT_CALL);
    m_socket.close();
  }
}

uint16_t DatagramPort::port() const {
  ACE_INET_Addr local;
  m_socket.get_local_addr(local);
  return local.get_port_number();
}

void DatagramPort::Send(std::string_view bytes, const ACE_INET_Addr& to) {
  m_socket.send(bytes.data(), bytes.size(), to);
}

ACE_HANDLE DatagramPort::get_handle() const {
  return m_socket.get_handle();
}

int DatagramPort::handle_input(ACE_HANDLE /*handle*/) {
  std::array<char, kMaxDatagramBytes> buffer;
  for (int i = 0; i < kMaxDatagramsPerCall; ++i) {
    ACE_INET_Addr from;
    const ssize_t count = m_socket.recv(buffer.data(), buffer.size(), from);
    if (count <= 0) {
      break;
    }
    m_on_datagram({buffer.data(), static_cast<size_t>(count)});
  }
  return 0;
}

}  // namespace azurespur::control
