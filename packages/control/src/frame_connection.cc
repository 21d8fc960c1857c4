#include "frame_connection.h"

#include <ace/INET_Addr.h>
#include <ace/OS_NS_errno.h>
#include <ace/Reactor.h>
#include <ace/SOCK_Connector.h>

#include <array>
#include <cstdint>
#include <utility>

namespace azurespur::control {

namespace {

constexpr size_t kLengthBytes = 4;
constexpr size_t kMaxFrameBytes = 64 << 20;
constexpr size_t kReadChunkBytes = 64 << 10;
constexpr int kByteBits = 8;

bool WouldBlock() {
  return ACE_OS::last_error() == EWOULDBLOCK || ACE_OS::last_error() == EAGAIN;
}

std::string EncodeLength(size_t length) {
  std::string bytes(kLengthBytes, '\0');
  for (size_t i = 0; i < kLengthBytes; ++i) {
    bytes[i] = static_cast<char>(length >> (kByteBits * i));
  }
  return bytes;
}

size_t DecodeLength(const std::string& bytes) {
  size_t length = 0;
  for (size_t i = 0; i < kLengthBytes; ++i) {
    length |= static_cast<size_t>(static_cast<uint8_t>(bytes[i]))
              << (kByteBits * i);
  }
  return length;
}

}  // namespace

FrameConnection::FrameConnection(base::MonoTime deadline,
                                 OnFrame on_frame,
                                 OnClosed on_closed)
    : m_deadline(deadline),
      m_on_frame(std::move(on_frame)),
      m_on_closed(std::move(on_closed)) {}

FrameConnection::~FrameConnection() {
  m_stream.close();
}

bool FrameConnection::OpenAccepted(ACE_Reactor& reactor) {
  m_stream.enable(ACE_NONBLOCK);
  return reactor.register_handler(this, READ_MASK) == 0;
}

bool FrameConnection::OpenConnecting(ACE_Reactor& reactor,
                                     const ACE_INET_Addr& address) {
  ACE_SOCK_Connector connector;
  const ACE_Time_Value at_once = ACE_Time_Value::zero;
  const int result = connector.connect(m_stream, address, &at_once);
  if (result == -1 && !WouldBlock()) {
    return false;
  }
  m_connecting = result == -1;
  m_stream.enable(ACE_NONBLOCK);
  return reactor.register_handler(this, READ_MASK | WRITE_MASK) == 0;
}

void FrameConnection::SendFrame(const std::string& payload, bool close_after) {
  m_out += EncodeLength(payload.size());
  m_out += payload;
  m_close_after_write = close_after;
  if (reactor() != nullptr) {
    reactor()->schedule_wakeup(this, WRITE_MASK);
  }
}

ACE_HANDLE FrameConnection::get_handle() const {
  return m_stream.get_handle();
}

int FrameConnection::handle_input(ACE_HANDLE /*handle*/) {
  std::array<char, kReadChunkBytes> chunk{};
  while (true) {
    const ssize_t count = m_stream.recv(chunk.data(), chunk.size());
    if (count > 0) {
      m_in.append(chunk.data(), static_cast<size_t>(count));
      continue;
    }
    if (count == 0 || !WouldBlock()) {
      TakeFrames();
      return -1;
    }
    return TakeFrames() ? 0 : -1;
  }
}

int FrameConnection::handle_output(ACE_HANDLE /*handle*/) {
  if (m_connecting) {
    // ACE_SOCK_Connector::complete() would close the handle on failure, while
    // the reactor still holds it.
    int error = 0;
    int size = sizeof(error);
    m_stream.get_option(SOL_SOCKET, SO_ERROR, &error, &size);
    if (error != 0) {
      return -1;
    }
    m_connecting = false;
  }
  while (!m_out.empty()) {
    const ssize_t count = m_stream.send(m_out.data(), m_out.size());
    if (count <= 0) {
      return WouldBlock() ? 0 : -1;
    }
    m_out.erase(0, static_cast<size_t>(count));
  }
  if (m_close_after_write) {
    return -1;
  }
  reactor()->cancel_wakeup(this, WRITE_MASK);
  return 0;
}

int FrameConnection::handle_close(ACE_HANDLE /*handle*/,
                                  ACE_Reactor_Mask /*mask*/) {
  if (m_stream.get_handle() != ACE_INVALID_HANDLE) {
    reactor()->remove_handler(this, ALL_EVENTS_MASK | DONT_CALL);
    m_stream.close();
  }
  // The callback may delete this object.
  const OnClosed on_closed = std::move(m_on_closed);
  on_closed(*this);
  return 0;
}

bool FrameConnection::TakeFrames() {
  while (m_in.size() >= kLengthBytes) {
    const size_t length = DecodeLength(m_in);
    if (length > kMaxFrameBytes) {
      return false;
    }
    if (m_in.size() < kLengthBytes + length) {
      return true;
    }
    std::string frame = m_in.substr(kLengthBytes, length);
    m_in.erase(0, kLengthBytes + length);
    m_on_frame(*this, std::move(frame));
  }
  return true;
}

}  // namespace azurespur::control
