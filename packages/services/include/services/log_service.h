// The platform's append-only log service.

#ifndef SERVICES_LOG_SERVICE_H_
#define SERVICES_LOG_SERVICE_H_

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "base/outcome.h"

namespace azurespur::http {
class HttpClient;
}

namespace azurespur::services {

struct LogRecord {
  uint64_t offset = 0;
  int64_t time_ms = 0;  // The log service's clock.
  std::string body;
};

struct LogPage {
  uint64_t first = 0;  // Lowest offset still kept.
  uint64_t next = 0;   // Where the next read continues.
  int64_t now_ms = 0;  // The log service's clock.
  std::vector<LogRecord> records;
};

// Blocking calls, safe from several threads.
class LogService {
 public:
  virtual ~LogService() = default;

  // Returns the offset. Errors: kExhausted (append rate, no effect),
  // kUnavailable (nothing was sent), kUnknown (may have taken effect).
  virtual base::Outcome<uint64_t> Append(std::string_view stream,
                                         std::string_view body) = 0;

  // Reads up to `max` records from `from` on, waiting up to `wait` for one.
  virtual base::Outcome<LogPage> Read(std::string_view stream,
                                      uint64_t from,
                                      size_t max,
                                      base::Millis wait) = 0;
};

// `url` is the service's base, such as "http://127.0.0.1:7000".
std::unique_ptr<LogService> MakeHttpLogService(http::HttpClient& client,
                                               std::string url,
                                               base::Millis timeout);

}  // namespace azurespur::services

#endif  // SERVICES_LOG_SERVICE_H_
