// Interface to an append-only log with conditional and fenced appends.

#ifndef CELL_FENCED_LOG_H_
#define CELL_FENCED_LOG_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"

namespace azurespur::cell {

// An idempotent writer: its appends are numbered, so that a retry has no second
// effect. The log rejects an append whose epoch is lower than one it has seen.
struct Producer {
  std::string name;
  uint64_t epoch = 0;
  uint64_t sequence = 0;
};

struct AppendRequest {
  std::string topic;
  std::vector<std::string> records;
  std::optional<int64_t> expected_end;  // Append only at this offset.
  std::optional<Producer> producer;
  base::Millis timeout{500};
};

enum class AppendStatus {
  kAppended,
  kWrongEnd,       // The log does not end at `expected_end`.
  kFenced,         // The log has seen a higher epoch.
  kWrongSequence,  // Not the producer's next sequence number.
  kRefused,        // Had no effect and may be retried.
  kUnknown,        // May have taken effect, or may do so later.
};

struct AppendResult {
  AppendStatus status = AppendStatus::kUnknown;
  int64_t offset = 0;       // Of the first record if appended.
  base::Millis latency{0};  // Until the first byte of the response arrived.
};

struct ReadRequest {
  std::string topic;
  int64_t from = 0;
  base::Millis wait{0};  // How long to wait for a record at `from`.
  // The read ends after a page of about this size.
  size_t max_bytes = 1 << 20;
  base::Millis timeout{5000};  // Of the whole read, beyond `wait`.
  // The read fails once nothing has arrived for this long, beyond `wait`.
  base::Millis stall_timeout{500};
};

enum class ReadStatus {
  kRead,
  kTrimmed,  // Records at `from` were removed; `first` is the oldest.
  kFailed,
};

struct ReadResult {
  ReadStatus status = ReadStatus::kFailed;
  int64_t end = 0;
  int64_t first = 0;
  std::vector<std::string> records;  // Starting at the requested offset.
  size_t bytes = 0;                  // Of the whole response.
  base::Millis latency{0};  // Until the first byte of the response arrived.
};

std::string_view AppendStatusName(AppendStatus status);

class FencedLog {
 public:
  virtual ~FencedLog() = default;

  // The callbacks run on another thread and must not block.
  virtual void Append(AppendRequest request,
                      std::function<void(AppendResult)> done) = 0;
  virtual void Read(ReadRequest request,
                    std::function<void(ReadResult)> done) = 0;
};

}  // namespace azurespur::cell

#endif  // CELL_FENCED_LOG_H_
