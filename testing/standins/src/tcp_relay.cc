#include "standins/tcp_relay.h"

#include <ace/INET_Addr.h>
#include <ace/Reactor.h>
#include <ace/SOCK_Connector.h>

#include <algorithm>

#include "standins/tcp_relay_end.h"

namespace azurespur::standins {

TcpRelay::TcpRelay(RelayLink& link, std::mutex& mutex, Timer& timer)
    : m_link(link), m_mutex(mutex), m_timer(timer) {}

TcpRelay::~TcpRelay() {
  m_acceptor.close();
}

uint16_t TcpRelay::Open(ACE_Reactor* target, uint16_t port) {
  const ACE_INET_Addr address(port, INADDR_LOOPBACK);
  if (m_acceptor.open(address, 1) != 0) {
    return 0;
  }
  m_acceptor.enable(ACE_NONBLOCK);
  reactor(target);
  target->register_handler(this, ACE_Event_Handler::ACCEPT_MASK);
  ACE_INET_Addr bound;
  m_acceptor.get_local_addr(bound);
  return bound.get_port_number();
}

void TcpRelay::ApplyLink() {
  if (m_link.cut && m_link.reset) {
    while (!m_ends.empty()) {
      Close(*m_ends.back());
    }
  }
  const auto ends = m_ends;
  for (const auto& end : ends) {
    end->SetReading(!m_link.cut);
    end->Flush();
  }
  // New connections wait in the listen queue while the link is cut. The mask is
  // left alone unless it changes: the reactor's thread may be in an upcall of
  // this handler, and would then restore the mask that it had before.
  const bool accepts = !m_link.cut || m_link.reset;
  if (accepts != m_accepts) {
    m_accepts = accepts;
    reactor()->mask_ops(
        this, ACE_Event_Handler::ACCEPT_MASK,
        accepts ? ACE_Reactor::ADD_MASK : ACE_Reactor::CLR_MASK);
  }
}

ACE_HANDLE TcpRelay::get_handle() const {
  return m_acceptor.get_handle();
}

int TcpRelay::handle_input(ACE_HANDLE /*handle*/) {
  std::lock_guard<std::mutex> lock(m_mutex);
  m_closed.clear();
  AcceptWaiting();
  return 0;
}

void TcpRelay::AcceptWaiting() {
  if (m_link.cut && !m_link.reset) {
    return;
  }
  ACE_SOCK_Stream caller;
  while (m_acceptor.accept(caller, nullptr, nullptr, false) == 0) {
    Pair(caller);
  }
}

void TcpRelay::Pair(ACE_SOCK_Stream caller) {
  ACE_SOCK_Stream target;
  ACE_SOCK_Connector connector;
  if (m_link.cut || connector.connect(target, m_link.target) != 0) {
    caller.close();
    return;
  }
  auto near_end = std::make_shared<TcpRelayEnd>(*this, caller);
  auto far_end = std::make_shared<TcpRelayEnd>(*this, target);
  near_end->SetPeer(far_end);
  far_end->SetPeer(near_end);
  near_end->Register(reactor());
  far_end->Register(reactor());
  m_ends.push_back(std::move(near_end));
  m_ends.push_back(std::move(far_end));
}

void TcpRelay::Close(TcpRelayEnd& end) {
  const auto other = end.peer();
  for (TcpRelayEnd* closing : {&end, other.get()}) {
    if (closing == nullptr) {
      continue;
    }
    closing->Unregister();
    const auto it = std::find_if(
        m_ends.begin(), m_ends.end(),
        [closing](const auto& kept) { return kept.get() == closing; });
    if (it != m_ends.end()) {
      m_closed.push_back(*it);
      m_ends.erase(it);
    }
  }
}

}  // namespace azurespur::standins
