#include "request_call.h"

#include <algorithm>

#include "http/http_message.h"

namespace azurespur::cli {

namespace {

// The server ends the request at its deadline; its answer comes a little
// later.
constexpr base::Millis kAnswerMargin{1000};

}  // namespace

ApiCall MakeRequestCall(const RequestSpec& spec) {
  ApiCall call;
  call.method = "POST";
  call.path = "/v1/requests";
  call.body = spec.data;
  call.headers.push_back({"Azurespur-Plan", spec.plan});
  if (!spec.key.empty()) {
    call.headers.push_back({"Azurespur-Key", spec.key});
  }
  if (spec.non_idempotent) {
    call.headers.push_back({"Azurespur-Non-Idempotent", "1"});
    call.repeat = Repeat::kNever;
  }
  if (spec.deadline_ms > 0) {
    call.headers.push_back(
        {"Azurespur-Deadline-Ms", std::to_string(spec.deadline_ms)});
    call.timeout = base::Millis(spec.deadline_ms) + kAnswerMargin;
  }
  return call;
}

std::string RequestFate(const http::HttpResponse& response) {
  const std::string fate(http::FindField(response.headers, "Azurespur-Fate"));
  return fate.empty() ? "may-have-run" : fate;
}

}  // namespace azurespur::cli
