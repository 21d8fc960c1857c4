// HTTP server with canned answers that records what it was asked.

#ifndef CLI_TESTS_CANNED_SERVER_H_
#define CLI_TESTS_CANNED_SERVER_H_

#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <sstream>
#include <string>
#include <vector>

#include "cli/run.h"
#include "http/http_server.h"

namespace azurespur::cli {

class CannedServer {
 public:
  CannedServer() {
    m_server = base::Value(http::StartHttpServer(
        {}, [this](http::HttpRequest request,
                   const std::shared_ptr<http::HttpReply>& reply) {
          const std::string call = request.method + " " + request.path;
          http::HttpResponse response = Answer(std::move(request));
          if (!KeepIfHeld(call, reply)) {
            reply->Send(std::move(response));
          }
        }));
  }

  CannedServer(const CannedServer&) = delete;
  CannedServer& operator=(const CannedServer&) = delete;

  // Ends the held calls before the server that they belong to.
  ~CannedServer() {
    std::lock_guard<std::mutex> lock(m_mutex);
    m_held.clear();
  }

  // Answers to "METHOD /path", in order; the last one is repeated.
  void On(const std::string& call, int status, std::string body) {
    http::HttpResponse response;
    response.status = status;
    response.body = std::move(body);
    On(call, std::move(response));
  }
  void On(const std::string& call, http::HttpResponse response) {
    std::lock_guard<std::mutex> lock(m_mutex);
    m_answers[call].push_back(std::move(response));
  }

  // Leaves calls to "METHOD /path" without an answer.
  void Hold(const std::string& call) {
    std::lock_guard<std::mutex> lock(m_mutex);
    m_held[call];
  }

  std::string address() const {
    return "127.0.0.1:" + std::to_string(m_server->port());
  }
  // The requests to "METHOD /path".
  std::vector<http::HttpRequest> Asked(const std::string& call) {
    std::lock_guard<std::mutex> lock(m_mutex);
    return m_asked[call];
  }

 private:
  bool KeepIfHeld(const std::string& call,
                  const std::shared_ptr<http::HttpReply>& reply) {
    std::lock_guard<std::mutex> lock(m_mutex);
    const auto held = m_held.find(call);
    if (held == m_held.end()) {
      return false;
    }
    held->second.push_back(reply);
    return true;
  }

  http::HttpResponse Answer(http::HttpRequest request) {
    const std::string call = request.method + " " + request.path;
    std::lock_guard<std::mutex> lock(m_mutex);
    m_asked[call].push_back(std::move(request));
    std::deque<http::HttpResponse>& answers = m_answers[call];
    if (answers.empty()) {
      http::HttpResponse missing;
      missing.status = 404;
      missing.body = R"({"error":"no canned answer"})";
      return missing;
    }
    http::HttpResponse response = answers.front();
    if (answers.size() > 1) {
      answers.pop_front();
    }
    return response;
  }

  std::mutex m_mutex;
  std::map<std::string, std::deque<http::HttpResponse>> m_answers;
  std::map<std::string, std::vector<http::HttpRequest>> m_asked;
  std::map<std::string, std::vector<std::shared_ptr<http::HttpReply>>> m_held;
  std::unique_ptr<http::HttpServer> m_server;
};

// Exit code and output of one command.
struct Ran {
  int code = 0;
  std::string out;
  std::string err;
};

inline Ran RunCommand(const std::vector<std::string>& args,
                      const std::string& input = "") {
  std::istringstream in(input);
  std::ostringstream out;
  std::ostringstream err;
  Ran ran;
  ran.code = Run(args, {in, out, err});
  ran.out = out.str();
  ran.err = err.str();
  return ran;
}

// The same against `server`.
inline Ran RunAgainst(const CannedServer& server,
                      std::vector<std::string> args,
                      const std::string& input = "") {
  args.insert(args.begin(),
              {"--server", server.address(), "--timeout-ms", "2000"});
  return RunCommand(args, input);
}

// An address where nothing listens.
inline std::string DeadAddress() {
  const CannedServer gone;
  return gone.address();
}

}  // namespace azurespur::cli

#endif  // CLI_TESTS_CANNED_SERVER_H_
