// Follows one log stream and applies each of its records once, in order.

#ifndef CELL_SRC_LOG_TAIL_H_
#define CELL_SRC_LOG_TAIL_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "base/mailbox.h"
#include "cell/fenced_log.h"
#include "log_read_metrics.h"
#include "log_timing.h"
#include "read_size.h"
#include "stream_freshness.h"

namespace azurespur::cell {

class LogTail {
 public:
  // Returns false if the record can't be applied yet.
  using Apply = std::function<bool(std::string_view record)>;

  LogTail(FencedLog& log,
          base::Mailbox& mailbox,
          const base::Clock& clock,
          std::string topic,
          LogTiming& timing,
          base::Metrics& metrics,
          Apply apply);

  // Reads from next() on, unless a read is in flight, the tail is held, or
  // records that were read can't be applied yet. `done`, if any, runs after a
  // read that was sent after this call, with true if all records up to the end
  // that the read reported are applied.
  void Poll(std::function<void(bool)> done = nullptr);

  // Takes records that are stored at `offset`. Applies those from next() on, or
  // starts a read if there is a gap before them.
  void AddRecords(int64_t offset, std::span<const std::string> records);

  // Stops reading, and ignores records, until StartFrom(). A read that finds
  // the next record removed does so too.
  void Hold() { m_held = true; }
  bool held() const { return m_held; }

  // Goes on from `next`, with a view that counts as current only once the end
  // of the stream is reached again.
  void StartFrom(int64_t next);

  // Offset of the oldest record that is left, if one that was to be read was
  // removed; else 0.
  int64_t oldest() const { return m_oldest; }

  // For an end that was learnt without a read; see StreamFreshness.
  void LearnEnd(int64_t end, base::MonoTime as_of);

  const StreamFreshness& freshness() const { return m_freshness; }
  int64_t next() const { return m_next; }
  bool reading() const { return m_reading; }
  // True once a read has reached the end of the stream.
  bool caught_up() const { return m_caught_up; }
  // True if all records up to the end that the last read reported are applied.
  bool at_end() const { return m_caught_up && m_next >= m_known_end; }
  // When the last successful read was sent, and when a record was last applied.
  base::MonoTime last_read() const { return m_last_read; }
  base::MonoTime last_advance() const { return m_last_advance; }
  base::MonoTime last_attempt() const { return m_last_attempt; }
  // True if the last read failed.
  bool failing() const { return m_failing; }
  // When the first successful read after the last failed one was sent.
  base::MonoTime reachable_since() const { return m_reachable_since; }

 private:
  static constexpr int kReadsBeforeReport = 5;
  static constexpr base::Millis kReportInterval{2000};

  // What is known about a read besides its result.
  struct ReadInfo {
    int64_t from = 0;  // Offset of the first record.
    int starts = 0;    // m_starts when it was sent.
    base::MonoTime sent_at{};
    base::MonoTime received_at{};
  };

  void StartRead();
  void OnRead(ReadResult result, const ReadInfo& read);
  void AdjustReadSize(const ReadResult& result, const ReadInfo& read);
  void Observe(const ReadResult& result, const ReadInfo& read);
  // Counts reads in a row that did not bring the tail closer to the end.
  void TrackProgress(const ReadResult& result, const ReadInfo& read);
  void LogIfCaughtUp(const ReadResult& result);
  // Applies the records from next() on. Returns false if one can't be applied
  // yet.
  bool ApplyFrom(int64_t offset, std::span<const std::string> records);
  // Does so with the records that an earlier read brought too early.
  bool ApplyKept();

  FencedLog& m_log;
  base::Mailbox& m_mailbox;
  const base::Clock& m_clock;
  const std::string m_topic;
  LogTiming& m_log_timing;
  const LogReadMetrics m_metrics;
  ReadSize m_read_size;
  const Apply m_apply;
  int64_t m_next = 0;
  int64_t m_known_end = 0;  // As of the last read.
  // Read, but some of them can't be applied yet.
  std::vector<std::string> m_kept;
  int64_t m_kept_from = 0;  // Offset of the first one.
  size_t m_bytes_read = 0;
  int m_reads_without_progress = 0;
  StreamFreshness m_freshness;
  base::MonoTime m_next_progress_report{};
  int64_t m_oldest = 0;
  int m_starts = 0;  // Calls of StartFrom().
  bool m_held = false;
  bool m_reading = false;
  bool m_applying = false;
  bool m_caught_up = false;
  bool m_failing = false;
  base::MonoTime m_first_attempt{};
  base::MonoTime m_last_read{};
  base::MonoTime m_last_advance{};
  base::MonoTime m_last_attempt{};
  base::MonoTime m_reachable_since{};
  // Run after the next read.
  std::vector<std::function<void(bool)>> m_waiting_callbacks;
  // Run after the read in flight.
  std::vector<std::function<void(bool)>> m_read_callbacks;
};

}  // namespace azurespur::cell

#endif  // CELL_SRC_LOG_TAIL_H_
