#include "services/executor_client.h"

#include <arpa/inet.h>
#include <doctest/doctest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <future>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "http/http_client.h"

namespace azurespur::services {

namespace {

constexpr std::chrono::seconds kGenerous{20};

// Serves one connection at a time. Each request gets the next of `answers` as
// raw bytes; an empty one closes the connection.
const std::string kDown = "down";

class RawServer {
 public:
  explicit RawServer(std::vector<std::string> answers)
      : m_answers(std::move(answers)),
        m_socket(socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(address);
    REQUIRE(bind(m_socket, reinterpret_cast<sockaddr*>(&address), size) == 0);
    REQUIRE(listen(m_socket, 8) == 0);
    getsockname(m_socket, reinterpret_cast<sockaddr*>(&address), &size);
    m_port = ntohs(address.sin_port);
    m_thread = std::thread([this] { Run(); });
  }
  RawServer(const RawServer&) = delete;
  RawServer& operator=(const RawServer&) = delete;
  ~RawServer() {
    m_stopping.store(true);
    shutdown(m_socket, SHUT_RDWR);
    m_thread.join();
    close(m_socket);
  }

  std::string address() const { return "127.0.0.1:" + std::to_string(m_port); }
  int requests() const { return m_requests.load(); }

 private:
  void Run() {
    while (!m_stopping.load()) {
      const int connection = accept(m_socket, nullptr, nullptr);
      if (connection < 0) {
        return;
      }
      while (ReadRequest(connection) && Answer(connection)) {
      }
      close(connection);
    }
  }

  // Requests of the tests have the body "{}".
  static bool ReadRequest(int connection) {
    std::string text;
    char byte = 0;
    while (!text.ends_with("\r\n\r\n{}")) {
      if (read(connection, &byte, 1) != 1) {
        return false;
      }
      text += byte;
    }
    return true;
  }

  bool Answer(int connection) {
    const auto i = static_cast<size_t>(m_requests.fetch_add(1));
    const std::string answer = i < m_answers.size() ? m_answers[i] : "";
    if (answer == kDown) {
      shutdown(m_socket, SHUT_RDWR);
    }
    if (answer.empty() || answer == kDown) {
      return false;
    }
    const bool sent = write(connection, answer.data(), answer.size()) ==
                      static_cast<ssize_t>(answer.size());
    return sent && answer.find("close") == std::string::npos;
  }

  const std::vector<std::string> m_answers;
  int m_socket;
  uint16_t m_port = 0;
  std::atomic<int> m_requests{0};
  std::atomic<bool> m_stopping{false};
  std::thread m_thread;
};

ExecutorCall Call(bool idempotent = true) {
  ExecutorCall call;
  call.request_id = "r1";
  call.body = "{}";
  call.timeout = base::Millis(10000);
  call.idempotent = idempotent;
  return call;
}

ExecutorAnswer Run(ExecutorClient& client,
                   const std::string& address,
                   ExecutorCall call) {
  std::promise<ExecutorAnswer> promise;
  auto future = promise.get_future();
  REQUIRE(client.Run(address, std::move(call), [&](ExecutorAnswer answer) {
    promise.set_value(std::move(answer));
  }));
  REQUIRE(future.wait_for(kGenerous) == std::future_status::ready);
  return future.get();
}

ExecutorAnswer RunAgainst(const std::string& answer) {
  RawServer server({answer});
  const auto http = http::StartHttpClient();
  const auto client = MakeHttpExecutorClient(*http);
  return Run(*client, server.address(), Call(false));
}

}  // namespace

TEST_CASE("only a whole answer to the own request passes") {
  const std::string id = "Azurespur-Request-Id: r1\r\n";
  const auto whole =
      RunAgainst("HTTP/1.1 200 OK\r\n" + id + "Content-Length: 4\r\n\r\ngood");
  CHECK(whole.verdict == ExecutorVerdict::kRan);
  CHECK(whole.body == "good");
  const std::vector<std::string> bad = {
      // Cut within the body, within the chunks, and with no length at all.
      "HTTP/1.1 200 OK\r\n" + id + "Content-Length: 9\r\nX: close\r\n\r\ncut",
      "HTTP/1.1 200 OK\r\n" + id +
          "Transfer-Encoding: chunked\r\nX: close\r\n\r\n9\r\ncut",
      "HTTP/1.1 200 OK\r\n" + id + "Connection: close\r\n\r\ncut?",
      // Crossed, and unnamed.
      std::string("HTTP/1.1 200 OK\r\nAzurespur-Request-Id: r2\r\n") +
          "Content-Length: 5\r\n\r\nother",
      "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother",
      "HTTP/1.1 500 Error\r\n" + id + "Content-Length: 0\r\n\r\n",
      "HTTP/1.1 503 Busy\r\n" + id + "Content-Length: 0\r\n\r\n",
      "garbage close\r\n\r\n",
  };
  for (const std::string& answer : bad) {
    CAPTURE(answer);
    const ExecutorAnswer got = RunAgainst(answer);
    CHECK(got.verdict == ExecutorVerdict::kMayHaveRun);
    CHECK(got.body.empty());
  }
}

TEST_CASE("a leaving executor's refusal and a refused connection are not-run") {
  const auto leaving = RunAgainst(
      "HTTP/1.1 503 Leaving\r\nAzurespur-Leaving: 1\r\n"
      "Content-Length: 0\r\n\r\n");
  CHECK(leaving.verdict == ExecutorVerdict::kLeaving);
  const auto http = http::StartHttpClient();
  const auto client = MakeHttpExecutorClient(*http);
  CHECK(Run(*client, "127.0.0.1:1", Call()).verdict ==
        ExecutorVerdict::kNotRun);
}

TEST_CASE("a call that is late is not sent") {
  RawServer server({});
  const auto http = http::StartHttpClient();
  const auto client = MakeHttpExecutorClient(*http);
  ExecutorCall call = Call();
  call.send_by = base::SystemClock().Now();
  CHECK(Run(*client, server.address(), call).verdict ==
        ExecutorVerdict::kNotRun);
  CHECK(server.requests() == 0);
}

// libcurl repeats a request when a used connection closes without an answer.
TEST_CASE("a non-idempotent request is never sent a second time") {
  const std::string good =
      "HTTP/1.1 200 OK\r\nAzurespur-Request-Id: r1\r\n"
      "Content-Length: 2\r\n\r\nok";
  RawServer server({good, ""});
  http::HttpClientOptions options;
  options.max_connections_per_host = 1;
  const auto http = http::StartHttpClient(options);
  const auto client = MakeHttpExecutorClient(*http);
  CHECK(Run(*client, server.address(), Call()).verdict ==
        ExecutorVerdict::kRan);
  CHECK(Run(*client, server.address(), Call(false)).verdict ==
        ExecutorVerdict::kMayHaveRun);
  CHECK(server.requests() == 2);
}

// Guards against a request that is told as not run, and ran: the executor ran
// it, closed the connection, and refused the repeat that libcurl sent.
TEST_CASE("a leaving executor's refusal of a second sending is no promise") {
  const std::string good =
      "HTTP/1.1 200 OK\r\nAzurespur-Request-Id: r1\r\n"
      "Content-Length: 2\r\n\r\nok";
  const std::string leaving =
      "HTTP/1.1 503 Leaving\r\nAzurespur-Request-Id: r1\r\n"
      "Azurespur-Leaving: 1\r\nContent-Length: 0\r\n\r\n";
  RawServer server({good, "", leaving});
  const auto http = http::StartHttpClient();
  const auto client = MakeHttpExecutorClient(*http);
  CHECK(Run(*client, server.address(), Call()).verdict ==
        ExecutorVerdict::kRan);
  CHECK(Run(*client, server.address(), Call()).verdict ==
        ExecutorVerdict::kMayHaveRun);
  CHECK(server.requests() == 2);
}

TEST_CASE("a request sent before its server went down may have run") {
  const std::string good =
      "HTTP/1.1 200 OK\r\nAzurespur-Request-Id: r1\r\n"
      "Content-Length: 2\r\n\r\nok";
  RawServer server({good, kDown});
  const auto http = http::StartHttpClient();
  const auto client = MakeHttpExecutorClient(*http);
  CHECK(Run(*client, server.address(), Call()).verdict ==
        ExecutorVerdict::kRan);
  CHECK(Run(*client, server.address(), Call()).verdict ==
        ExecutorVerdict::kMayHaveRun);
}

}  // namespace azurespur::services
