// One pending answer of a stand-in.

#ifndef STANDINS_REPLY_H_
#define STANDINS_REPLY_H_

#include "http/http_message.h"

namespace azurespur::standins {

// Only the first call of any method has an effect; all may be called from any
// thread. A reply destroyed without a call closes the connection.
class Reply {
 public:
  virtual ~Reply() = default;

  virtual void Send(http::HttpResponse response) = 0;

  // Announces the whole length, sends half of the body, then closes.
  virtual void SendTruncated(http::HttpResponse response) = 0;

  // Closes the connection without an answer.
  virtual void Abort() = 0;
};

}  // namespace azurespur::standins

#endif  // STANDINS_REPLY_H_
