// Calls to the daemons' HTTP API, with the next server tried when one is down.

#ifndef CLI_API_CLIENT_H_
#define CLI_API_CLIENT_H_

#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/outcome.h"
#include "http/http_client.h"

namespace azurespur::cli {

// Whether a call may be sent again after it was sent and not answered.
enum class Repeat { kNever, kAllowed };

struct ApiCall {
  std::string method = "GET";
  std::string path;  // With the query.
  std::vector<http::HttpField> headers;
  std::string body;
  Repeat repeat = Repeat::kAllowed;
  base::Millis timeout{0};  // 0: the client's.
};

struct ApiAnswer {
  std::string server;
  http::HttpResponse response;
  nlohmann::json body;  // Discarded if the body is no JSON.
};

// Not thread-safe.
class ApiClient {
 public:
  ApiClient(std::vector<std::string> servers, base::Millis timeout);

  // Sends the call to the first server that answers with a status other than
  // 503. Errors: kUnavailable (no server was reached), kUnknown (sent, no
  // answer; also if another server then refused what is no read). The last 503
  // is returned if all servers are unavailable.
  base::Outcome<ApiAnswer> Call(const ApiCall& call);

  // Sends the call to one server only.
  base::Outcome<ApiAnswer> CallServer(const std::string& server,
                                      const ApiCall& call);

  const std::vector<std::string>& servers() const { return m_servers; }
  base::Millis timeout() const { return m_timeout; }

 private:
  const std::vector<std::string> m_servers;
  const base::Millis m_timeout;
  std::unique_ptr<http::HttpClient> m_http;
  size_t m_preferred = 0;  // The server that answered last.
};

}  // namespace azurespur::cli

#endif  // CLI_API_CLIENT_H_
