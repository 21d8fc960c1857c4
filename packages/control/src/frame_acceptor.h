// Accepts TCP connections of peers.

#ifndef CONTROL_SRC_FRAME_ACCEPTOR_H_
#define CONTROL_SRC_FRAME_ACCEPTOR_H_

#include <ace/Event_Handler.h>
#include <ace/SOCK_Acceptor.h>

#include <functional>
#include <memory>

#include "frame_connection.h"

namespace azurespur::control {

class FrameAcceptor : public ACE_Event_Handler {
 public:
  using MakeConnection = std::function<std::unique_ptr<FrameConnection>()>;
  // Takes over a connection whose stream is accepted.
  using OnAccepted = std::function<void(std::unique_ptr<FrameConnection>)>;

  FrameAcceptor(MakeConnection make, OnAccepted on_accepted);
  FrameAcceptor(const FrameAcceptor&) = delete;
  FrameAcceptor& operator=(const FrameAcceptor&) = delete;
  ~FrameAcceptor() override;

  // Returns false if the address can't be bound.
  bool Open(ACE_Reactor& reactor, const ACE_INET_Addr& address);

  // Stops accepting; peers that connect are refused.
  void Close();

  ACE_HANDLE get_handle() const override;
  int handle_input(ACE_HANDLE handle) override;

 private:
  MakeConnection m_make;
  OnAccepted m_on_accepted;
  ACE_SOCK_Acceptor m_acceptor;
};

}  // namespace azurespur::control

#endif  // CONTROL_SRC_FRAME_ACCEPTOR_H_
