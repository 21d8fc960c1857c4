// The TCP half of a relay link.

#ifndef STANDINS_TCP_RELAY_H_
#define STANDINS_TCP_RELAY_H_

#include <ace/Event_Handler.h>
#include <ace/SOCK_Acceptor.h>
#include <ace/SOCK_Stream.h>

#include <cstdint>
#include <memory>
#include <mutex>
#include <vector>

#include "standins/relay_link.h"
#include "standins/timer.h"

namespace azurespur::standins {

class TcpRelayEnd;

// Accepts connections and pairs each with one to the target. Runs on the
// reactor's thread; takes `mutex` in its upcalls.
class TcpRelay : public ACE_Event_Handler {
 public:
  TcpRelay(RelayLink& link, std::mutex& mutex, Timer& timer);
  TcpRelay(const TcpRelay&) = delete;
  TcpRelay& operator=(const TcpRelay&) = delete;
  ~TcpRelay() override;

  // Listens on `port` (0 picks one) and returns the port, or 0 on failure.
  uint16_t Open(ACE_Reactor* reactor, uint16_t port);

  // Brings the connections in line with the link. The mutex must be held.
  void ApplyLink();

  ACE_HANDLE get_handle() const override;
  int handle_input(ACE_HANDLE handle) override;

 private:
  friend class TcpRelayEnd;

  void AcceptWaiting();
  void Pair(ACE_SOCK_Stream caller);
  void Close(TcpRelayEnd& end);

  RelayLink& m_link;
  std::mutex& m_mutex;
  Timer& m_timer;
  ACE_SOCK_Acceptor m_acceptor;
  bool m_accepts = true;  // Registered for new connections.
  std::vector<std::shared_ptr<TcpRelayEnd>> m_ends;
  // Closed ends, kept until no upcall can still be in them.
  std::vector<std::shared_ptr<TcpRelayEnd>> m_closed;
};

}  // namespace azurespur::standins

#endif  // STANDINS_TCP_RELAY_H_
