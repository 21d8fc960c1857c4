#include "peer_calls.h"

#include <ace/INET_Addr.h>
#include <ace/Reactor.h>

#include <utility>
#include <vector>

#include "frame_connection.h"
#include "wire/codec.h"
#include "wire/peer_answer.h"

namespace azurespur::control {

namespace {

constexpr base::Millis kServedTimeout{10000};

}  // namespace

PeerCalls::PeerCalls(ACE_Reactor& reactor,
                     const base::Clock& clock,
                     Answer answer)
    : m_reactor(reactor), m_clock(clock), m_answer(std::move(answer)) {}

PeerCalls::~PeerCalls() = default;

void PeerCalls::Begin(PeerCall call, const ACE_INET_Addr& to) {
  auto connection = std::make_unique<FrameConnection>(
      call.deadline,
      [this](FrameConnection& from, const std::string& frame) {
        OnAnswer(from, frame);
      },
      [this](FrameConnection& closed) {
        Finish(closed, base::Error{base::ErrorCode::kUnknown,
                                   "peer closed before its answer"});
        Forget(closed);
      });
  FrameConnection* raw = connection.get();
  m_pending[raw] = Pending{std::move(call.done)};
  m_connections[raw] = std::move(connection);
  if (!raw->OpenConnecting(m_reactor, to)) {
    Finish(*raw, base::Error{base::ErrorCode::kUnavailable,
                             "VM \"" + call.vm + "\" refused"});
    Forget(*raw);
    return;
  }
  raw->SendFrame(call.bytes, false);
}

void PeerCalls::OnAnswer(FrameConnection& connection,
                         const std::string& frame) {
  const auto answer = wire::Decode<wire::PeerAnswer>(frame);
  if (!base::Ok(answer)) {
    Finish(connection, base::GetError(answer));
    return;
  }
  const wire::PeerAnswer& decoded = base::Value(answer);
  if (!decoded.ok) {
    const auto code = static_cast<base::ErrorCode>(decoded.error_code);
    Finish(connection, base::Error{code, decoded.payload});
    return;
  }
  Finish(connection, decoded.payload);
}

void PeerCalls::Finish(FrameConnection& connection,
                       base::Outcome<std::string> outcome) {
  const auto it = m_pending.find(&connection);
  if (it == m_pending.end() || it->second.finished) {
    return;
  }
  it->second.finished = true;
  const PeerBus::Done done = std::move(it->second.done);
  done(std::move(outcome));
}

std::unique_ptr<FrameConnection> PeerCalls::MakeServed() {
  return std::make_unique<FrameConnection>(
      m_clock.Now() + kServedTimeout,
      [this](FrameConnection& from, const std::string& frame) {
        from.SendFrame(m_answer(frame), true);
      },
      [this](FrameConnection& closed) { Forget(closed); });
}

void PeerCalls::Adopt(std::unique_ptr<FrameConnection> connection) {
  FrameConnection* raw = connection.get();
  m_connections[raw] = std::move(connection);
  if (!raw->OpenAccepted(m_reactor)) {
    Forget(*raw);
  }
}

void PeerCalls::Forget(FrameConnection& connection) {
  m_pending.erase(&connection);
  m_connections.erase(&connection);
}

void PeerCalls::CloseExpired(base::MonoTime now) {
  std::vector<FrameConnection*> expired;
  for (const auto& [raw, connection] : m_connections) {
    const auto call = m_pending.find(raw);
    const bool finished = call != m_pending.end() && call->second.finished;
    if (finished || connection->deadline() <= now) {
      expired.push_back(raw);
    }
  }
  for (FrameConnection* raw : expired) {
    m_reactor.remove_handler(raw, ACE_Event_Handler::ALL_EVENTS_MASK);
  }
}

void PeerCalls::CloseAll() {
  while (!m_connections.empty()) {
    m_reactor.remove_handler(m_connections.begin()->first,
                             ACE_Event_Handler::ALL_EVENTS_MASK);
  }
}

}  // namespace azurespur::control
