// One TCP connection that carries length-prefixed frames. All methods run on
// the reactor's thread.

#ifndef CONTROL_SRC_FRAME_CONNECTION_H_
#define CONTROL_SRC_FRAME_CONNECTION_H_

#include <ace/Event_Handler.h>
#include <ace/SOCK_Stream.h>

#include <functional>
#include <string>

#include "base/clock.h"

class ACE_INET_Addr;
class ACE_Reactor;

namespace azurespur::control {

class FrameConnection : public ACE_Event_Handler {
 public:
  // A frame has arrived whole.
  using OnFrame = std::function<void(FrameConnection&, std::string)>;
  // The connection is closed; the owner may delete it.
  using OnClosed = std::function<void(FrameConnection&)>;

  FrameConnection(base::MonoTime deadline,
                  OnFrame on_frame,
                  OnClosed on_closed);
  FrameConnection(const FrameConnection&) = delete;
  FrameConnection& operator=(const FrameConnection&) = delete;
  ~FrameConnection() override;

  base::MonoTime deadline() const { return m_deadline; }
  ACE_SOCK_Stream& stream() { return m_stream; }

  // Registers an accepted stream. Returns false if that fails.
  bool OpenAccepted(ACE_Reactor& reactor);

  // Begins to connect; frames sent meanwhile wait. Returns false if that fails
  // at once.
  bool OpenConnecting(ACE_Reactor& reactor, const ACE_INET_Addr& address);

  // Queues a frame; with `close_after` the connection is closed once written.
  void SendFrame(const std::string& payload, bool close_after);

  ACE_HANDLE get_handle() const override;
  int handle_input(ACE_HANDLE handle) override;
  int handle_output(ACE_HANDLE handle) override;
  int handle_close(ACE_HANDLE handle, ACE_Reactor_Mask mask) override;

 private:
  // Takes whole frames out of the input. Returns false on a malformed one.
  bool TakeFrames();

  const base::MonoTime m_deadline;
  OnFrame m_on_frame;
  OnClosed m_on_closed;
  ACE_SOCK_Stream m_stream;
  std::string m_in;
  std::string m_out;
  bool m_connecting = false;
  bool m_close_after_write = false;
};

}  // namespace azurespur::control

#endif  // CONTROL_SRC_FRAME_CONNECTION_H_
