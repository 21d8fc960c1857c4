// HTTP responses of the request path.

#ifndef FILTERS_REFUSAL_H_
#define FILTERS_REFUSAL_H_

#include <string>
#include <string_view>

#include "base/clock.h"
#include "filters/fate.h"
#include "http/http_message.h"

namespace azurespur::filters {

// Error response to a request that gets no answer from an executor.
struct Refusal {
  int status = 503;
  std::string error;            // Stable error code, such as "over_rate".
  std::string reason;           // Human-readable; names field and value.
  base::Millis retry_after{0};  // 0: no Retry-After header.
  Fate fate = Fate::kNotRun;
};

// `request_id` may be empty.
http::HttpResponse MakeRefusal(const Refusal& refusal,
                               std::string_view request_id);

// Builds the response for a complete answer of an executor.
http::HttpResponse MakeAnswer(std::string body,
                              std::string_view executor,
                              std::string_view request_id);

}  // namespace azurespur::filters

#endif  // FILTERS_REFUSAL_H_
