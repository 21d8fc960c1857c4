// One socket of a relayed TCP connection.

#ifndef STANDINS_TCP_RELAY_END_H_
#define STANDINS_TCP_RELAY_END_H_

#include <ace/Event_Handler.h>
#include <ace/SOCK_Stream.h>

#include <deque>
#include <memory>
#include <string>

#include "base/clock.h"
#include "standins/tcp_relay.h"

namespace azurespur::standins {

class TcpRelayEnd : public ACE_Event_Handler,
                    public std::enable_shared_from_this<TcpRelayEnd> {
 public:
  TcpRelayEnd(TcpRelay& relay, ACE_SOCK_Stream stream);
  TcpRelayEnd(const TcpRelayEnd&) = delete;
  TcpRelayEnd& operator=(const TcpRelayEnd&) = delete;
  ~TcpRelayEnd() override;

  void SetPeer(const std::shared_ptr<TcpRelayEnd>& peer) { m_peer = peer; }
  std::shared_ptr<TcpRelayEnd> peer() const { return m_peer.lock(); }

  // The rest needs the relay's mutex.
  void Register(ACE_Reactor* reactor);
  void Unregister();
  void SetReading(bool reading);
  void Enqueue(std::string bytes);
  void Flush();

  ACE_HANDLE get_handle() const override;
  int handle_input(ACE_HANDLE handle) override;
  int handle_output(ACE_HANDLE handle) override;

 private:
  struct Chunk {
    base::MonoTime due;
    std::string bytes;
  };

  TcpRelay& m_relay;
  ACE_SOCK_Stream m_stream;
  std::weak_ptr<TcpRelayEnd> m_peer;
  std::deque<Chunk> m_chunks;
  bool m_registered = false;
};

}  // namespace azurespur::standins

#endif  // STANDINS_TCP_RELAY_END_H_
