// What the caller of a request heard.

#ifndef HISTORY_REQUEST_ANSWER_H_
#define HISTORY_REQUEST_ANSWER_H_

#include <cstdint>
#include <string>

namespace azurespur::history {

struct RequestAnswer {
  int64_t time_ms = 0;
  std::string sending;  // Id of this sending; a request may be sent again.
  std::string key;      // The same in the body that was sent.
  std::string fate;     // ran, not-run, may-have-run; empty without an answer.
  bool non_idempotent = false;
  std::string sent;    // Body of the request.
  std::string answer;  // Body of the answer.
};

}  // namespace azurespur::history

#endif  // HISTORY_REQUEST_ANSWER_H_
