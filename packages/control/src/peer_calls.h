// Requests and answers over TCP between daemons. All methods run on the
// reactor's thread, or while it does not run.

#ifndef CONTROL_SRC_PEER_CALLS_H_
#define CONTROL_SRC_PEER_CALLS_H_

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "base/clock.h"
#include "base/outcome.h"
#include "control/peer_bus.h"

class ACE_INET_Addr;
class ACE_Reactor;

namespace azurespur::control {

class FrameConnection;

// A request on its way to a peer.
struct PeerCall {
  std::string vm;
  std::string bytes;
  base::MonoTime deadline{};
  PeerBus::Done done;
};

class PeerCalls {
 public:
  // Gives the answer's bytes for a request's bytes.
  using Answer = std::function<std::string(const std::string&)>;

  // `reactor` and `clock` must outlive the calls.
  PeerCalls(ACE_Reactor& reactor, const base::Clock& clock, Answer answer);
  PeerCalls(const PeerCalls&) = delete;
  PeerCalls& operator=(const PeerCalls&) = delete;
  ~PeerCalls();

  // Sends a request; `done` runs once.
  void Begin(PeerCall call, const ACE_INET_Addr& to);

  // A connection that answers one peer's requests; Adopt() it once accepted.
  std::unique_ptr<FrameConnection> MakeServed();
  void Adopt(std::unique_ptr<FrameConnection> connection);

  // Closes connections that are done or past their deadline.
  void CloseExpired(base::MonoTime now);
  void CloseAll();

 private:
  struct Pending {
    PeerBus::Done done;
    bool finished = false;
  };

  void OnAnswer(FrameConnection& connection, const std::string& frame);
  void Finish(FrameConnection& connection, base::Outcome<std::string> outcome);
  void Forget(FrameConnection& connection);

  ACE_Reactor& m_reactor;
  const base::Clock& m_clock;
  const Answer m_answer;
  std::map<FrameConnection*, std::unique_ptr<FrameConnection>> m_connections;
  std::map<FrameConnection*, Pending> m_pending;
};

}  // namespace azurespur::control

#endif  // CONTROL_SRC_PEER_CALLS_H_
