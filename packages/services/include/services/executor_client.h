// The request verb of an executor. Answers come on the HTTP client's thread.

#ifndef SERVICES_EXECUTOR_CLIENT_H_
#define SERVICES_EXECUTOR_CLIENT_H_

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "base/clock.h"
#include "base/outcome.h"

namespace azurespur::http {
class HttpClient;
}

namespace azurespur::services {

enum class ExecutorVerdict {
  kRan,         // A whole answer that names this request.
  kNotRun,      // Nothing was sent, or the executor said so.
  kLeaving,     // Not run, and the executor takes nothing new.
  kMayHaveRun,  // Sent; no whole answer of this request.
};

struct ExecutorAnswer {
  ExecutorVerdict verdict = ExecutorVerdict::kMayHaveRun;
  int status = 0;      // HTTP status where there was one.
  std::string body;    // Whole answer where `verdict` is kRan.
  std::string reason;  // Otherwise why.
};

struct ExecutorCall {
  std::string request_id;
  std::string body;
  base::Millis timeout{1000};
  base::MonoTime
      send_by{};           // Ends as kNotRun if not sent by then; 0: no limit.
  bool idempotent = true;  // Otherwise sent at most once.
};

class ExecutorClient {
 public:
  using Done = std::function<void(ExecutorAnswer)>;

  virtual ~ExecutorClient() = default;

  // Returns false, without calling `done`, if the client's queue is full.
  virtual bool Run(std::string_view address, ExecutorCall call, Done done) = 0;
};

std::unique_ptr<ExecutorClient> MakeHttpExecutorClient(
    http::HttpClient& client);

}  // namespace azurespur::services

#endif  // SERVICES_EXECUTOR_CLIENT_H_
