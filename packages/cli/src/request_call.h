// The form of a request to an executor.

#ifndef CLI_REQUEST_CALL_H_
#define CLI_REQUEST_CALL_H_

#include <cstdint>
#include <string>

#include "api_client.h"

namespace azurespur::cli {

struct RequestSpec {
  std::string plan;
  std::string key;
  bool non_idempotent = false;
  int64_t deadline_ms = 0;  // 0: the plan's.
  std::string data;
};

ApiCall MakeRequestCall(const RequestSpec& spec);

// The fate in an answer: "ran", "not-run", "may-have-run". An answer without
// one says nothing of the request.
std::string RequestFate(const http::HttpResponse& response);

}  // namespace azurespur::cli

#endif  // CLI_REQUEST_CALL_H_
