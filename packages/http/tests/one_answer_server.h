// A server that answers the first request of each connection, reads the second
// one whole and closes the connection without an answer.

#ifndef HTTP_TESTS_ONE_ANSWER_SERVER_H_
#define HTTP_TESTS_ONE_ANSWER_SERVER_H_

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace azurespur::http {

class OneAnswerServer {
 public:
  OneAnswerServer() {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(address);
    auto* generic = reinterpret_cast<sockaddr*>(&address);
    m_listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (bind(m_listener, generic, size) != 0 ||
        getsockname(m_listener, generic, &size) != 0 ||
        listen(m_listener, kBacklog) != 0) {
      throw std::runtime_error("no port to listen on");
    }
    m_port = ntohs(address.sin_port);
    m_thread = std::thread([this] { Run(); });
  }
  OneAnswerServer(const OneAnswerServer&) = delete;
  OneAnswerServer& operator=(const OneAnswerServer&) = delete;

  ~OneAnswerServer() { Stop(); }

  // Waits until all connections are closed, so clients must be gone.
  void Stop() {
    if (!m_thread.joinable()) {
      return;
    }
    shutdown(m_listener, SHUT_RDWR);
    m_thread.join();
    for (std::thread& serving : m_serving) {
      serving.join();
    }
    close(m_listener);
  }

  std::string Url() const {
    return "http://127.0.0.1:" + std::to_string(m_port) + "/";
  }
  int connections() const { return m_connections.load(); }
  int requests() const { return m_requests.load(); }
  // Received on all connections but the first.
  int64_t later_bytes() const { return m_later_bytes.load(); }

 private:
  static constexpr int kBacklog = 8;

  void Run() {
    for (;;) {
      const int connection = accept(m_listener, nullptr, nullptr);
      if (connection < 0) {
        return;
      }
      const bool later = m_connections.fetch_add(1) > 0;
      // One connection may wait idle while another one is served.
      m_serving.emplace_back(
          [this, connection, later] { Serve(connection, later); });
    }
  }

  void Serve(int connection, bool later) {
    constexpr std::string_view kAnswer =
        "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    if (ReadRequest(connection, later)) {
      (void)!write(connection, kAnswer.data(), kAnswer.size());
      ReadRequest(connection, later);
    }
    close(connection);
  }

  // Returns false if the connection was closed before the request's end.
  bool ReadRequest(int connection, bool later) {
    std::string text;
    std::array<char, 4096> buffer{};
    while (!IsWhole(text)) {
      const ssize_t count = read(connection, buffer.data(), buffer.size());
      if (count <= 0) {
        return false;
      }
      m_later_bytes.fetch_add(later ? count : 0);
      text.append(buffer.data(), static_cast<size_t>(count));
    }
    m_requests.fetch_add(1);
    return true;
  }

  static bool IsWhole(const std::string& text) {
    constexpr std::string_view kLength = "Content-Length: ";
    const size_t end = text.find("\r\n\r\n");
    if (end == std::string::npos) {
      return false;
    }
    const size_t length = text.find(kLength);
    const size_t body = length == std::string::npos
                            ? 0
                            : std::stoul(text.substr(length + kLength.size()));
    return text.size() >= end + 4 + body;
  }

  int m_listener = -1;
  uint16_t m_port = 0;
  std::atomic<int> m_connections{0};
  std::atomic<int> m_requests{0};
  std::atomic<int64_t> m_later_bytes{0};
  std::vector<std::thread> m_serving;
  std::thread m_thread;
};

}  // namespace azurespur::http

#endif  // HTTP_TESTS_ONE_ANSWER_SERVER_H_
