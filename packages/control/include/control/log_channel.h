// One stream of the log service: batched appends and ordered delivery.

#ifndef CONTROL_LOG_CHANNEL_H_
#define CONTROL_LOG_CHANNEL_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "base/clock.h"
#include "base/outcome.h"
#include "wire/log_entry.h"

namespace azurespur::base {
class Clock;
class Metrics;
}  // namespace azurespur::base
namespace azurespur::services {
class LogService;
}

namespace azurespur::control {

class LogObserver;

// Place of an entry in its stream: record offset, then index in the batch.
struct LogPosition {
  uint64_t offset = 0;
  uint32_t index = 0;
  int64_t time_ms = 0;  // The log service's clock.

  friend bool operator<(const LogPosition& a, const LogPosition& b) {
    return a.offset != b.offset ? a.offset < b.offset : a.index < b.index;
  }
  friend bool operator==(const LogPosition& a, const LogPosition& b) {
    return a.offset == b.offset && a.index == b.index;
  }
};

struct LogChannelOptions {
  std::string stream;
  std::string writer;  // VM id and incarnation; prefix of entry ids.
  base::Millis append_interval{20};  // Least time between appends.
  base::Millis read_wait{1000};      // Long poll.
  base::Millis retention{600000};    // Of the log service.
  base::Millis refresh_age{300000};  // State older than this is restated.
  size_t max_batch_bytes = 256 << 10;
  size_t queue_size = 4096;
};

struct LogChannelStatus {
  uint64_t next_offset = 0;
  bool caught_up = false;  // Has read to the end once since the start.
  bool reachable = false;  // The last read was answered.
  int64_t silent_ms = 0;   // Since the last answered read.
  uint64_t appends = 0;    // Batches appended.
  uint64_t entries = 0;    // Entries appended.
  uint64_t retries = 0;    // Batches sent again after a lost answer.
};

// An append is complete when the reader has seen the entry in the stream, not
// when the service answers; so a lost answer needs no other treatment. Entries
// may appear in the stream more than once: observers treat a repeat as a
// no-op.
class LogChannel {
 public:
  using Done = std::function<void(base::Outcome<LogPosition>)>;

  virtual ~LogChannel() = default;

  // Queues an entry. `done` runs on the reader's thread after all observers
  // saw the entry, or on a channel thread with an error: kUnavailable (never
  // sent, and will not be) or kUnknown (sent, not seen by `deadline`; may
  // appear later). Returns false, without calling `done`, if the queue is
  // full or `max_batch_bytes` is exceeded.
  virtual bool Append(wire::EntryKind kind,
                      std::string payload,
                      base::MonoTime deadline,
                      Done done) = 0;

  virtual LogChannelStatus Status() const = 0;

  // Begins reading at `from` (0: the oldest record kept) and appending.
  virtual void Start(uint64_t from) = 0;

  // Stops both threads. Pending appends end with kUnknown or kUnavailable.
  virtual void Stop() = 0;
};

// `observer`, `log`, `clock` and `metrics` must outlive the channel.
std::unique_ptr<LogChannel> MakeLogChannel(const LogChannelOptions& options,
                                           services::LogService& log,
                                           LogObserver& observer,
                                           const base::Clock& clock,
                                           base::Metrics& metrics);

}  // namespace azurespur::control

#endif  // CONTROL_LOG_CHANNEL_H_
