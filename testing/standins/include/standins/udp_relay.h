// The UDP half of a relay link.

#ifndef STANDINS_UDP_RELAY_H_
#define STANDINS_UDP_RELAY_H_

#include <ace/Event_Handler.h>
#include <ace/SOCK_Dgram.h>

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>

#include "standins/relay_link.h"
#include "standins/timer.h"

namespace azurespur::standins {

// Forwards datagrams to the target, from one socket for each sender, so that
// replies find their way back. Runs on the reactor's thread; takes `mutex` in
// its upcalls.
class UdpRelay : public ACE_Event_Handler {
 public:
  UdpRelay(RelayLink& link, std::mutex& mutex, Timer& timer);
  UdpRelay(const UdpRelay&) = delete;
  UdpRelay& operator=(const UdpRelay&) = delete;
  ~UdpRelay() override;

  // Receives on `port`. False if the port can't be bound.
  bool Open(ACE_Reactor* reactor, uint16_t port);

  ACE_HANDLE get_handle() const override;
  int handle_input(ACE_HANDLE handle) override;

 private:
  // The socket that stands for one sender towards the target.
  class Return : public ACE_Event_Handler {
   public:
    Return(UdpRelay& relay, const ACE_INET_Addr& sender);
    ~Return() override;

    ACE_SOCK_Dgram& socket() { return m_socket; }
    ACE_HANDLE get_handle() const override;
    int handle_input(ACE_HANDLE handle) override;

   private:
    UdpRelay& m_relay;
    const ACE_INET_Addr m_sender;
    ACE_SOCK_Dgram m_socket;
  };

  Return& FindReturn(const ACE_INET_Addr& sender);
  void Forward(ACE_SOCK_Dgram& socket,
               std::string datagram,
               const ACE_INET_Addr& to);

  RelayLink& m_link;
  std::mutex& m_mutex;
  Timer& m_timer;
  ACE_SOCK_Dgram m_socket;
  std::map<uint16_t, std::unique_ptr<Return>> m_returns;  // By sender's port.
};

}  // namespace azurespur::standins

#endif  // STANDINS_UDP_RELAY_H_
