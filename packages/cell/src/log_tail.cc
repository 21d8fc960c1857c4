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
                 Apply apply)
    : m_log(log),
      m_mailbox(mailbox),
      m_clock(clock),
      m_topic(std::move(topic)),
      m_log_timing(timing),
      m_apply(std::move(apply)) {}

void LogTail::Poll(std::function<void(bool)> done) {
  if (done) {
    m_waiting_callbacks.push_back(std::move(done));
  }
  if (!m_reading) {
    StartRead();
  }
}

void LogTail::StartRead() {
  m_reading = true;
  m_read_callbacks = std::exchange(m_waiting_callbacks, {});
  m_last_attempt = m_clock.Now();
  ReadRequest request;
  request.topic = m_topic;
  request.from = m_next;
  const base::MonoTime sent_at = m_last_attempt;
  const int64_t from = m_next;
  m_log.Read(std::move(request), [this, sent_at, from](ReadResult result) {
    m_mailbox.Push([this, sent_at, from, result = std::move(result)] {
      OnRead(result, from, sent_at);
    });
  });
}

void LogTail::OnRead(const ReadResult& result,
                     int64_t from,
                     base::MonoTime sent_at) {
  m_reading = false;
  const bool ok = result.status != ReadStatus::kFailed;
  if (ok == m_failing) {
    m_failing = !ok;
    m_reachable_since = ok ? sent_at : m_reachable_since;
    base::LogEvent(ok ? base::Severity::kInfo : base::Severity::kWarning,
                   ok ? "AZ9202" : "AZ9201",
                   ok ? "log stream is reachable" : "log stream is unreachable",
                   {{"stream", m_topic}, {"next", std::to_string(m_next)}});
  }
  bool applied = true;
  if (result.status == ReadStatus::kRead) {
    m_last_read = sent_at;
    m_known_end = result.end;
    m_log_timing.AddLatency(
        base::Millis{base::MillisBetween(sent_at, m_clock.Now())});
    LearnEnd(result.end, sent_at);
    applied = ApplyFrom(from, result.records);
    m_caught_up = m_caught_up || m_next >= result.end;
  } else if (result.status == ReadStatus::kTrimmed) {
    base::LogEvent(base::Severity::kError, "AZ9203",
                   "log stream was trimmed past the next unread record",
                   {{"stream", m_topic},
                    {"next", std::to_string(m_next)},
                    {"first", std::to_string(result.first)}});
    m_next = std::max(m_next, result.first);
  }
  for (const auto& done : std::exchange(m_read_callbacks, {})) {
    done(ok);
  }
  const bool more =
      ok && applied &&
      (result.status == ReadStatus::kTrimmed || m_next < result.end);
  if (!m_reading && (more || !m_waiting_callbacks.empty())) {
    StartRead();
  }
}

void LogTail::AddRecords(int64_t offset, std::span<const std::string> records) {
  if (offset > m_next || records.empty()) {
    Poll();
  } else {
    ApplyFrom(offset, records);
  }
}

bool LogTail::ApplyFrom(int64_t offset, std::span<const std::string> records) {
  const auto end = offset + static_cast<int64_t>(records.size());
  if (offset > m_next || end <= m_next || m_applying) {
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
