// UDP socket of the messages between daemons.

#ifndef CONTROL_SRC_DATAGRAM_PORT_H_
#define CONTROL_SRC_DATAGRAM_PORT_H_

#include <ace/Event_Handler.h>
#include <ace/SOCK_Dgram.h>

#include <cstdint>
#include <functional>
#include <string_view>

class ACE_INET_Addr;
class ACE_Reactor;

namespace azurespur::control {

class DatagramPort : public ACE_Event_Handler {
 public:
  using OnDatagram = std::function<void(std::string_view)>;

  explicit DatagramPort(OnDatagram on_datagram);
  DatagramPort(const DatagramPort&) = delete;
  DatagramPort& operator=(const DatagramPort&) = delete;
  ~DatagramPort() override;

  // Returns false if the address can't be bound.
  bool Open(ACE_Reactor& reactor, const ACE_INET_Addr& address);

  // The bound port, also where port 0 was asked for.
  uint16_t port() const;

  // Best effort; a datagram that does not go out is lost.
  void Send(std::string_view bytes, const ACE_INET_Addr& to);

  void Close();

  ACE_HANDLE get_handle() const override;
  int handle_input(ACE_HANDLE handle) override;

 private:
  OnDatagram m_on_datagram;
  ACE_SOCK_Dgram m_socket;
};

}  // namespace azurespur::control

#endif  // CONTROL_SRC_DATAGRAM_PORT_H_
