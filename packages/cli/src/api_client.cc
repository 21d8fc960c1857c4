#include "api_client.h"

#include <optional>
#include <utility>

namespace azurespur::cli {

namespace {

constexpr int kUnavailableStatus = 503;
constexpr int kHundred = 100;
constexpr int kSuccessClass = 2;  // Statuses 200 to 299.

// Whether another server may take the call over: the first did not run it.
bool MayTryNext(const http::HttpResponse& response) {
  return response.status == kUnavailableStatus &&
         http::FindField(response.headers, "Azurespur-Fate") != "may-have-run";
}

// Whether the answer holds although an earlier try of the call was sent and not
// answered. The answer to a read does, and an acceptance; a refusal speaks only
// for its own try.
bool HoldsForAllTries(const ApiCall& call, const http::HttpResponse& response) {
  return call.method == "GET" || response.status / kHundred == kSuccessClass;
}

}  // namespace

ApiClient::ApiClient(std::vector<std::string> servers, base::Millis timeout)
    : m_servers(std::move(servers)),
      m_timeout(timeout),
      m_http(http::StartHttpClient()) {}

base::Outcome<ApiAnswer> ApiClient::Call(const ApiCall& call) {
  std::optional<ApiAnswer> refusal;
  std::optional<base::Error> unknown;
  std::string unreached;
  for (size_t i = 0; i < m_servers.size(); ++i) {
    const size_t place = (m_preferred + i) % m_servers.size();
    base::Outcome<ApiAnswer> answer = CallServer(m_servers[place], call);
    if (base::Ok(answer)) {
      if (!MayTryNext(base::Value(answer).response)) {
        m_preferred = place;
        if (unknown && !HoldsForAllTries(call, base::Value(answer).response)) {
          return *unknown;
        }
        return answer;
      }
      refusal = base::Value(std::move(answer));
      continue;
    }
    const base::Error& error = base::GetError(answer);
    unreached += (unreached.empty() ? "" : "; ") + error.message;
    if (error.code != base::ErrorCode::kUnavailable) {
      unknown = error;
      if (call.repeat == Repeat::kNever) {
        return error;
      }
    }
  }
  if (unknown) {
    return *unknown;
  }
  if (refusal) {
    return *std::move(refusal);
  }
  return base::Error{base::ErrorCode::kUnavailable, unreached};
}

base::Outcome<ApiAnswer> ApiClient::CallServer(const std::string& server,
                                               const ApiCall& call) {
  http::HttpCall http_call;
  http_call.method = call.method;
  http_call.url = "http://" + server + call.path;
  http_call.headers = call.headers;
  http_call.body = call.body;
  http_call.timeout = call.timeout.count() > 0 ? call.timeout : m_timeout;
  http_call.connect_timeout = m_timeout;
  http_call.repeatable = call.method == "GET";
  http::HttpResult result = m_http->Fetch(std::move(http_call));
  if (!base::Ok(result)) {
    return base::GetError(result);
  }
  ApiAnswer answer;
  answer.server = server;
  answer.response = base::Value(std::move(result));
  answer.body = nlohmann::json::parse(answer.response.body, nullptr, false);
  return answer;
}

}  // namespace azurespur::cli
