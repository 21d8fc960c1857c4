#include "log_tail.h"

#include <algorithm>
#include <utility>

#include "base/event_log.h"

namespace azurespur::cell {

LogTail::LogTail(FencedLog& log,
                 base::Mailbox& mailbox,
                 const base::Clock& clock,
                 std::string topic,
                 LogTiming& timing,
                 base::Metrics& metrics,
                 Apply apply)
    : m_log(log),
      m_mailbox(mailbox),
      m_clock(clock),
      m_topic(std::move(topic)),
      m_log_timing(timing),
      m_metrics(metrics, m_topic),
      m_apply(std::move(apply)) {}

void LogTail::Poll(std::function<void(bool)> done) {
  if (done) {
    m_waiting_callbacks.push_back(std::move(done));
  }
  if (m_reading || m_held) {
    return;
  }
  const bool blocked = !ApplyKept();
  if (blocked && m_waiting_callbacks.empty()) {
    m_last_attempt = m_clock.Now();
  } else if (!m_reading) {  // Applying records may have started a read.
    StartRead();
  }
}

void LogTail::StartRead() {
  m_reading = true;
  m_read_callbacks = std::exchange(m_waiting_callbacks, {});
  m_last_attempt = m_clock.Now();
  if (m_first_attempt == base::MonoTime{}) {
    m_first_attempt = m_last_attempt;
  }
  ReadRequest request;
  request.topic = m_topic;
  request.from = m_next;
  request.max_bytes = m_read_size.bytes();
  m_metrics.asked_bytes.Set(static_cast<int64_t>(request.max_bytes));
  ReadInfo read;
  read.from = m_next;
  read.starts = m_starts;
  read.sent_at = m_last_attempt;
  m_log.Read(std::move(request), [this, read](ReadResult result) mutable {
    read.received_at = m_clock.Now();
    base::PushCompletion(m_mailbox,
                         [this, read, result = std::move(result)]() mutable {
                           OnRead(std::move(result), read);
                         });
  });
}

void LogTail::OnRead(ReadResult result, const ReadInfo& read) {
  m_reading = false;
  if (read.starts != m_starts) {
    // Says nothing of what is read now. The next poll starts a read.
    for (const auto& done : std::exchange(m_read_callbacks, {})) {
      done(false);
    }
    return;
  }
  const bool ok = result.status != ReadStatus::kFailed;
  if (ok == m_failing) {
    m_failing = !ok;
    m_reachable_since = ok ? read.sent_at : m_reachable_since;
    base::LogEvent(ok ? base::Severity::kInfo : base::Severity::kWarning,
                   ok ? "AZ9202" : "AZ9201",
                   ok ? "log stream is reachable" : "log stream is unreachable",
                   {{"stream", m_topic}, {"next", std::to_string(m_next)}});
  }
  bool applied = true;
  if (result.status == ReadStatus::kRead) {
    m_last_read = read.sent_at;
    m_known_end = result.end;
    // The time of the transfer depends on the link and the size of the page.
    m_log_timing.AddLatency(result.latency);
    LearnEnd(result.end, read.sent_at);
    applied = ApplyFrom(read.from, result.records);
    LogIfCaughtUp(result);
  } else if (result.status == ReadStatus::kTrimmed) {
    base::LogEvent(base::Severity::kError, "AZ9203",
                   "log stream was trimmed past the next unread record",
                   {{"stream", m_topic},
                    {"next", std::to_string(m_next)},
                    {"first", std::to_string(result.first)}});
    m_oldest = result.first;
    Hold();
  }
  AdjustReadSize(result, read);
  Observe(result, read);
  TrackProgress(result, read);
  if (!applied) {
    m_kept = std::move(result.records);
    m_kept_from = read.from;
  }
  // The page may end before the end of the stream. What follows is not waited
  // for: callers on a VM that is far behind do better to ask another one.
  const bool complete =
      result.status == ReadStatus::kRead && m_next >= result.end;
  for (const auto& done : std::exchange(m_read_callbacks, {})) {
    done(complete);
  }
  const bool more = ok && applied && m_next < result.end;
  if (!m_reading && !m_held && (more || !m_waiting_callbacks.empty())) {
    StartRead();
  }
}

void LogTail::AdjustReadSize(const ReadResult& result, const ReadInfo& read) {
  if (result.status == ReadStatus::kFailed) {
    // A response that refuses says nothing about the size.
    if (result.bytes == 0) {
      m_read_size.OnFailure();
    }
  } else if (result.records.empty() && read.from < result.end) {
    m_read_size.OnRecordTooLarge();
  } else {
    const base::Millis elapsed{
        base::MillisBetween(read.sent_at, read.received_at)};
    m_read_size.OnRead(result.bytes,
                       std::max(base::Millis{0}, elapsed - result.latency));
  }
}

void LogTail::LogIfCaughtUp(const ReadResult& result) {
  if (m_caught_up || m_next < result.end) {
    return;
  }
  m_caught_up = true;
  base::LogEvent(
      base::Severity::kInfo, "AZ9209", "all records of the log stream are read",
      {{"stream", m_topic},
       {"next", std::to_string(m_next)},
       {"bytes", std::to_string(m_bytes_read + result.bytes)},
       {"ms",
        std::to_string(base::MillisBetween(m_first_attempt, m_clock.Now()))}});
}

void LogTail::Observe(const ReadResult& result, const ReadInfo& read) {
  m_bytes_read += result.bytes;
  m_metrics.bytes.Add(static_cast<int64_t>(result.bytes));
  m_metrics.failures.Add(result.status == ReadStatus::kFailed ? 1 : 0);
  m_metrics.behind_records.Set(std::max<int64_t>(0, m_known_end - m_next));
  m_metrics.duration_ms.Observe(
      static_cast<double>(base::MillisBetween(read.sent_at, read.received_at)));
}

void LogTail::TrackProgress(const ReadResult& result, const ReadInfo& read) {
  const bool at_end =
      result.status == ReadStatus::kRead && m_next >= result.end;
  if (m_next > read.from || at_end) {
    m_reads_without_progress = 0;
    return;
  }
  const base::MonoTime now = m_clock.Now();
  if (++m_reads_without_progress < kReadsBeforeReport ||
      now < m_next_progress_report) {
    return;
  }
  m_next_progress_report = now + kReportInterval;
  base::LogEvent(base::Severity::kWarning, "AZ9208",
                 "reads of the log stream made no progress",
                 {{"stream", m_topic},
                  {"next", std::to_string(m_next)},
                  {"known_end", std::to_string(m_known_end)},
                  {"reads", std::to_string(m_reads_without_progress)},
                  {"asked_bytes", std::to_string(m_metrics.asked_bytes.Get())},
                  {"bytes", std::to_string(result.bytes)},
                  {"read_ms", std::to_string(base::MillisBetween(
                                  read.sent_at, read.received_at))}});
}

void LogTail::StartFrom(int64_t next) {
  ++m_starts;
  m_held = false;
  m_next = next;
  m_known_end = 0;
  m_kept.clear();
  m_caught_up = false;
  m_freshness = {};
  m_freshness.Advance(next);
  m_last_attempt = {};
}

void LogTail::AddRecords(int64_t offset, std::span<const std::string> records) {
  if (m_held) {
    return;
  }
  if (offset > m_next || records.empty()) {
    Poll();
  } else {
    ApplyFrom(offset, records);
  }
}

bool LogTail::ApplyKept() {
  if (m_kept.empty() || m_applying) {
    return true;
  }
  std::vector<std::string> records = std::exchange(m_kept, {});
  const bool all = ApplyFrom(m_kept_from, records);
  if (!all) {
    m_kept = std::move(records);
  }
  return all;
}

bool LogTail::ApplyFrom(int64_t offset, std::span<const std::string> records) {
  const auto end = offset + static_cast<int64_t>(records.size());
  if (offset > m_next || end <= m_next || m_applying || m_held) {
    return true;  // Applied meanwhile by another path, or not applicable yet.
  }
  m_applying = true;
  bool all = true;
  for (const std::string& record :
       records.subspan(static_cast<size_t>(m_next - offset))) {
    if (!m_apply(record)) {
      all = false;
      break;
    }
    ++m_next;
    m_last_advance = m_clock.Now();
  }
  m_applying = false;
  m_freshness.Advance(m_next);
  return all;
}

void LogTail::LearnEnd(int64_t end, base::MonoTime as_of) {
  m_freshness.LearnEnd(end, as_of);
}

}  // namespace azurespur::cell
