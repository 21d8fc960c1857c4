#include "services/executor_client.h"

#include <utility>

#include "http/http_client.h"

namespace azurespur::services {

namespace {

constexpr std::string_view kRequestIdHeader = "Azurespur-Request-Id";
constexpr std::string_view kLeavingHeader = "Azurespur-Leaving";
constexpr int kStatusOk = 200;
constexpr int kStatusUnavailable = 503;

ExecutorAnswer FromError(const base::Error& error) {
  ExecutorAnswer answer;
  answer.verdict = error.code == base::ErrorCode::kUnavailable
                       ? ExecutorVerdict::kNotRun
                       : ExecutorVerdict::kMayHaveRun;
  answer.reason = error.message;
  return answer;
}

// libcurl reports a body shorter than Content-Length, or chunks without an
// end, as an error. A body ended by the close of the connection can't be told
// from a cut one.
bool HasLength(const http::HttpResponse& response) {
  return !http::FindField(response.headers, "Content-Length").empty() ||
         !http::FindField(response.headers, "Transfer-Encoding").empty();
}

ExecutorAnswer FromResponse(http::HttpResponse response,
                            const std::string& request_id) {
  ExecutorAnswer answer;
  answer.status = response.status;
  if (response.status == kStatusUnavailable &&
      http::FindField(response.headers, kLeavingHeader) == "1") {
    answer.verdict = ExecutorVerdict::kLeaving;
    answer.reason = "executor is leaving";
    return answer;
  }
  const std::string_view echoed =
      http::FindField(response.headers, kRequestIdHeader);
  if (response.status != kStatusOk) {
    answer.reason =
        "executor answered status " + std::to_string(response.status);
  } else if (echoed != request_id) {
    answer.reason = "executor answered request \"" + std::string(echoed) +
                    "\" instead of \"" + request_id + "\"";
  } else if (!HasLength(response)) {
    answer.reason = "executor's answer has no length";
  } else {
    answer.verdict = ExecutorVerdict::kRan;
    answer.body = std::move(response.body);
  }
  return answer;
}

class HttpExecutorClient : public ExecutorClient {
 public:
  explicit HttpExecutorClient(http::HttpClient& client) : m_client(client) {}

  bool Run(std::string_view address, ExecutorCall call, Done done) override {
    http::HttpCall post;
    post.method = "POST";
    post.url = "http://" + std::string(address) + "/run";
    post.headers.push_back({std::string(kRequestIdHeader), call.request_id});
    post.body = std::move(call.body);
    post.timeout = call.timeout;
    post.send_by = call.send_by;
    // Also not for an idempotent request: it may run twice, but the refusal of
    // the second sending would be taken for the first's. The caller retries.
    post.repeatable = false;
    post.new_connection = !call.idempotent;
    return m_client.Send(std::move(post), [id = std::move(call.request_id),
                                           done = std::move(done)](
                                              http::HttpResult result) {
      done(base::Ok(result) ? FromResponse(base::Value(std::move(result)), id)
                            : FromError(base::GetError(result)));
    });
  }

 private:
  http::HttpClient& m_client;
};

}  // namespace

std::unique_ptr<ExecutorClient> MakeHttpExecutorClient(
    http::HttpClient& client) {
  return std::make_unique<HttpExecutorClient>(client);
}

}  // namespace azurespur::services
