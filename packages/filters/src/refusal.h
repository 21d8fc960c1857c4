// Answers other than an executor's own.

#ifndef FILTERS_REFUSAL_H_
#define FILTERS_REFUSAL_H_

#include <string>
#include <string_view>

#include "base/clock.h"
#include "filters/fate.h"
#include "http/http_message.h"

namespace azurespur::filters {

struct Refusal {
  int status = 503;
  std::string error;            // Stable short name, such as "over_rate".
  std::string reason;           // For people; names field and value.
  base::Millis retry_after{0};  // 0: no advice.
  Fate fate = Fate::kNotRun;
};

// `request_id` may be empty.
http::HttpResponse MakeRefusal(const Refusal& refusal,
                               std::string_view request_id);

// Wraps the whole answer of an executor.
http::HttpResponse MakeAnswer(std::string body,
                              std::string_view executor,
                              std::string_view request_id);

}  // namespace azurespur::filters

#endif  // FILTERS_REFUSAL_H_
