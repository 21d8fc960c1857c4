// A server that handles its requests, one connection at a time, as a list of
// steps says.

#ifndef HTTP_TESTS_SCRIPTED_SERVER_H_
#define HTTP_TESTS_SCRIPTED_SERVER_H_

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

namespace azurespur::http {

enum class ConnectionEnd { kKept, kClosed, kReset };

struct ScriptStep {
  size_t max_bytes = SIZE_MAX;  // Of the request that are read.
  std::string answer;
  ConnectionEnd end = ConnectionEnd::kKept;
  bool stops_listening = false;  // Before the connection ends.
};

class ScriptedServer {
 public:
  explicit ScriptedServer(std::vector<ScriptStep> steps)
      : m_steps(std::move(steps)) {
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
  ScriptedServer(const ScriptedServer&) = delete;
  ScriptedServer& operator=(const ScriptedServer&) = delete;

  ~ScriptedServer() { Stop(); }

  // Waits until all connections are closed, so clients must be gone.
  void Stop() {
    if (m_thread.joinable()) {
      shutdown(m_listener, SHUT_RDWR);
      m_thread.join();
      close(m_listener);
    }
  }

  std::string Url() const {
    return "http://127.0.0.1:" + std::to_string(m_port) + "/";
  }
  // Requests of which at least one byte was read.
  int requests() const { return m_requests.load(); }

 private:
  static constexpr int kBacklog = 8;

  void Run() {
    for (;;) {
      const int connection = accept(m_listener, nullptr, nullptr);
      if (connection < 0) {
        return;
      }
      while (Serve(connection)) {
      }
      close(connection);
    }
  }

  // Returns true if the connection is kept.
  bool Serve(int connection) {
    const ScriptStep step =
        m_next < m_steps.size() ? m_steps[m_next] : ScriptStep{};
    if (!ReadRequest(connection, step.max_bytes)) {
      return false;
    }
    ++m_next;
    (void)!write(connection, step.answer.data(), step.answer.size());
    if (step.stops_listening) {
      shutdown(m_listener, SHUT_RDWR);
    }
    if (step.end == ConnectionEnd::kReset) {
      const linger at_once{1, 0};
      setsockopt(connection, SOL_SOCKET, SO_LINGER, &at_once, sizeof(at_once));
    }
    return step.end == ConnectionEnd::kKept;
  }

  // Returns false if the connection was closed before that.
  bool ReadRequest(int connection, size_t max_bytes) {
    std::string text;
    std::array<char, 4096> buffer{};
    while (!IsWhole(text) && text.size() < max_bytes) {
      const ssize_t count =
          read(connection, buffer.data(),
               std::min(buffer.size(), max_bytes - text.size()));
      if (count <= 0) {
        return false;
      }
      m_requests.fetch_add(text.empty() ? 1 : 0);
      text.append(buffer.data(), static_cast<size_t>(count));
    }
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

  const std::vector<ScriptStep> m_steps;
  size_t m_next = 0;
  int m_listener = -1;
  uint16_t m_port = 0;
  std::atomic<int> m_requests{0};
  std::thread m_thread;
};

}  // namespace azurespur::http

#endif  // HTTP_TESTS_SCRIPTED_SERVER_H_
