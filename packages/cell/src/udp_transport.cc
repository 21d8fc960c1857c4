#include "cell/udp_transport.h"

#include <ace/INET_Addr.h>
#include <ace/SOCK_Dgram.h>

#include <atomic>
#include <string>
#include <thread>
#include <utility>

#include "base/event_log.h"

namespace azurespur::cell {

namespace {

constexpr size_t kMaxDatagramBytes = 64 << 10;
constexpr long kStopCheckMillis = 500;

class UdpTransport : public DatagramTransport {
 public:
  UdpTransport() = default;
  UdpTransport(const UdpTransport&) = delete;
  UdpTransport& operator=(const UdpTransport&) = delete;
  ~UdpTransport() override {
    m_stopping.store(true);
    if (m_thread.joinable()) {
      m_thread.join();
    }
    m_socket.close();
  }

  bool Open(const std::string& address) {
    ACE_INET_Addr local;
    return local.set(address.c_str(), AF_INET) == 0 &&
           m_socket.open(local) == 0;
  }

  bool Send(std::string_view address, std::string_view bytes) override {
    ACE_INET_Addr to;
    if (to.set(std::string(address).c_str(), AF_INET) != 0) {
      base::LogEvent(base::Severity::kWarning, "AZ9403",
                     "peer address is invalid",
                     {{"address", std::string(address)}});
      return false;
    }
    // The receiver gets lost records by its next read of the log.
    return m_socket.send(bytes.data(), bytes.size(), to, MSG_DONTWAIT) >= 0;
  }

  void Receive(Handler handler) override {
    m_thread = std::thread([this, handler = std::move(handler)] {
      std::string buffer(kMaxDatagramBytes, '\0');
      while (!m_stopping.load()) {
        ACE_INET_Addr from;
        ACE_Time_Value wait;
        wait.msec(kStopCheckMillis);
        const ssize_t count =
            m_socket.recv(buffer.data(), buffer.size(), from, 0, &wait);
        if (count > 0) {
          handler({buffer.data(), static_cast<size_t>(count)});
        }
      }
    });
  }

 private:
  ACE_SOCK_Dgram m_socket;
  std::atomic<bool> m_stopping{false};
  std::thread m_thread;
};

}  // namespace

base::Outcome<std::unique_ptr<DatagramTransport>> OpenUdpTransport(
    std::string_view address) {
  auto transport = std::make_unique<UdpTransport>();
  if (!transport->Open(std::string(address))) {
    return base::Error{base::ErrorCode::kUnavailable,
                       "peer address " + std::string(address) +
                           " can't be bound; is it in use?"};
  }
  return std::unique_ptr<DatagramTransport>(std::move(transport));
}

}  // namespace azurespur::cell
