// Parses and validates HTTP requests.

#ifndef FILTERS_DECODE_H_
#define FILTERS_DECODE_H_

#include <optional>
#include <string>
#include <variant>

#include "base/clock.h"
#include "http/http_message.h"
#include "refusal.h"

namespace azurespur::filters {

struct CallerRequest {
  std::string id;  // Empty if the caller set none.
  std::string plan;
  std::string key;  // Empty if there is none.
  bool idempotent = true;
  std::optional<base::Millis> deadline;  // Relative to arrival.
  std::string body;
};

// A query for the fate of a key.
struct FateQuery {
  std::string key;
};

std::variant<CallerRequest, FateQuery, Refusal> Decode(
    http::HttpRequest request);

}  // namespace azurespur::filters

#endif  // FILTERS_DECODE_H_
