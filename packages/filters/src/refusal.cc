#include "refusal.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace azurespur::filters {

namespace {

constexpr int64_t kMillisPerSecond = 1000;

// Retry-After is in whole seconds. Rounds up, because rounding down would cause
// retries that come too early.
std::string RetryAfterSeconds(base::Millis wait) {
  const int64_t seconds =
      (wait.count() + kMillisPerSecond - 1) / kMillisPerSecond;
  return std::to_string(std::max<int64_t>(seconds, 1));
}

}  // namespace

http::HttpResponse MakeRefusal(const Refusal& refusal,
                               std::string_view request_id) {
  http::HttpResponse response;
  response.status = refusal.status;
  response.headers.push_back(
      {"Azurespur-Fate", std::string(FateName(refusal.fate))});
  if (!request_id.empty()) {
    response.headers.push_back(
        {"Azurespur-Request-Id", std::string(request_id)});
  }
  if (refusal.retry_after.count() > 0) {
    response.headers.push_back(
        {"Retry-After", RetryAfterSeconds(refusal.retry_after)});
  }
  const nlohmann::json body = {{"error", refusal.error},
                               {"reason", refusal.reason}};
  response.body =
      body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  return response;
}

http::HttpResponse MakeAnswer(std::string body,
                              std::string_view executor,
                              std::string_view request_id) {
  http::HttpResponse response;
  response.status = 200;
  response.body = std::move(body);
  response.headers.push_back({"Azurespur-Fate", "ran"});
  response.headers.push_back({"Azurespur-Executor", std::string(executor)});
  response.headers.push_back({"Azurespur-Request-Id", std::string(request_id)});
  return response;
}

}  // namespace azurespur::filters
