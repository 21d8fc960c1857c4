#include "standins/tcp_relay_end.h"

#include <ace/Reactor.h>

#include <cerrno>
#include <utility>

namespace azurespur::standins {

namespace {

constexpr size_t kReadBytes = 64U << 10;

}  // namespace

TcpRelayEnd::TcpRelayEnd(TcpRelay& relay, ACE_SOCK_Stream stream)
    : m_relay(relay), m_stream(stream) {
  m_stream.enable(ACE_NONBLOCK);
}

TcpRelayEnd::~TcpRelayEnd() {
  m_stream.close();
}

void TcpRelayEnd::Register(ACE_Reactor* target) {
  reactor(target);
  target->register_handler(this, ACE_Event_Handler::READ_MASK);
  m_registered = true;
}

void TcpRelayEnd::Unregister() {
  if (std::exchange(m_registered, false)) {
    // The reactor can't remove a handler that waits for nothing: the entry
    // would stay and get the events of the next socket with this number.
    reactor()->mask_ops(this, ACE_Event_Handler::READ_MASK,
                        ACE_Reactor::ADD_MASK);
    reactor()->remove_handler(this, ACE_Event_Handler::ALL_EVENTS_MASK |
                                        ACE_Event_Handler::DONT_CALL);
  }
  m_stream.close();
}

void TcpRelayEnd::SetReading(bool reading) {
  if (m_registered) {
    reactor()->mask_ops(
        this, ACE_Event_Handler::READ_MASK,
        reading ? ACE_Reactor::ADD_MASK : ACE_Reactor::CLR_MASK);
  }
}

void TcpRelayEnd::Enqueue(std::string bytes) {
  const base::Millis delay(m_relay.m_link.delay_ms);
  m_chunks.push_back({base::SystemClock().Now() + delay, std::move(bytes)});
  if (delay == base::Millis(0)) {
    Flush();
    return;
  }
  m_relay.m_timer.After(delay,
                        [weak = weak_from_this(), &mutex = m_relay.m_mutex] {
                          std::lock_guard<std::mutex> lock(mutex);
                          if (const auto end = weak.lock()) {
                            end->Flush();
                          }
                        });
}

void TcpRelayEnd::Flush() {
  const base::MonoTime now = base::SystemClock().Now();
  while (m_registered && !m_relay.m_link.cut && !m_chunks.empty() &&
         m_chunks.front().due <= now) {
    std::string& bytes = m_chunks.front().bytes;
    const ssize_t sent = m_stream.send(bytes.data(), bytes.size());
    if (sent < 0 && errno != EWOULDBLOCK) {
      m_relay.Close(*this);
      return;
    }
    if (sent < static_cast<ssize_t>(bytes.size())) {
      bytes.erase(0, sent > 0 ? static_cast<size_t>(sent) : 0);
      reactor()->mask_ops(this, ACE_Event_Handler::WRITE_MASK,
                          ACE_Reactor::ADD_MASK);
      return;
    }
    m_chunks.pop_front();
  }
}

ACE_HANDLE TcpRelayEnd::get_handle() const {
  return m_stream.get_handle();
}

int TcpRelayEnd::handle_input(ACE_HANDLE /*handle*/) {
  std::lock_guard<std::mutex> lock(m_relay.m_mutex);
  if (!m_registered || m_relay.m_link.cut) {
    return 0;
  }
  std::string bytes(kReadBytes, '\0');
  const ssize_t received = m_stream.recv(bytes.data(), bytes.size());
  if (received < 0 && errno == EWOULDBLOCK) {
    return 0;
  }
  const auto other = peer();
  if (received <= 0 || !other) {
    m_relay.Close(*this);
    return 0;
  }
  bytes.resize(static_cast<size_t>(received));
  other->Enqueue(std::move(bytes));
  return 0;
}

int TcpRelayEnd::handle_output(ACE_HANDLE /*handle*/) {
  std::lock_guard<std::mutex> lock(m_relay.m_mutex);
  if (m_registered) {
    reactor()->mask_ops(this, ACE_Event_Handler::WRITE_MASK,
                        ACE_Reactor::CLR_MASK);
    Flush();
  }
  return 0;
}

}  // namespace azurespur::standins
