#include "frame_acceptor.h"

#include <ace/INET_Addr.h>
#include <ace/Reactor.h>

#include <utility>

namespace azurespur::control {

FrameAcceptor::FrameAcceptor(MakeConnection make, OnAccepted on_accepted)
    : m_make(std::move(make)), m_on_accepted(std::move(on_accepted)) {}

FrameAcceptor::~FrameAcceptor() {
  Close();
}

bool FrameAcceptor::Open(ACE_Reactor& reactor, const ACE_INET_Addr& address) {
  constexpr int kReuseAddress = 1;
  if (m_acceptor.open(address, kReuseAddress) == -1) {
    return false;
  }
  m_acceptor.enable(ACE_NONBLOCK);
  return reactor.register_handler(this, ACCEPT_MASK) == 0;
}

void FrameAcceptor::Close() {
  if (m_acceptor.get_handle() != ACE_INVALID_HANDLE) {
    reactor()->remove_handler(this, ALL_EVENTS_MASK | DONT_CALL);
    m_acceptor.close();
  }
}

ACE_HANDLE FrameAcceptor::get_handle() const {
  return m_acceptor.get_handle();
}

int FrameAcceptor::handle_input(ACE_HANDLE /*handle*/) {
  std::unique_ptr<FrameConnection> connection = m_make();
  if (m_acceptor.accept(connection->stream()) == 0) {
    m_on_accepted(std::move(connection));
  }
  return 0;
}

}  // namespace azurespur::control
