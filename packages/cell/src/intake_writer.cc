#include "intake_writer.h"

#include <algorithm>
#include <iterator>
#include <memory>
#include <utility>

#include "base/event_log.h"

namespace azurespur::cell {

namespace {

constexpr size_t kMaxBatchRecords = 256;
constexpr size_t kMaxBatchBytes = 64 << 10;
// Several appends may be in flight, so that one lost response doesn't delay all
// callers.
constexpr int kMaxInFlight = 4;
constexpr int kMaxAttempts = 4;
constexpr base::Millis kPauseAfterRefusal{60};
constexpr base::Millis kProbeInterval{300};

}  // namespace

IntakeWriter::IntakeWriter(FencedLog& log,
                           base::Mailbox& mailbox,
                           const base::Clock& clock,
                           std::string topic,
                           LogTiming& timing,
                           OnStored on_stored)
    : m_log(log),
      m_mailbox(mailbox),
      m_clock(clock),
      m_topic(std::move(topic)),
      m_log_timing(timing),
      m_on_stored(std::move(on_stored)) {}

void IntakeWriter::Store(std::string record,
                         base::MonoTime deadline,
                         Done done) {
  if (failing()) {
    const base::MonoTime now = m_clock.Now();
    // The fate of a probe is mostly unknown, which helps its caller less than a
    // refusal.
    if (now < m_next_probe || m_last_contact <= m_last_failure) {
      done(StoreOutcome::kNotStored);
      return;
    }
    m_next_probe = now + kProbeInterval;
  }
  QueuedRecord queued;
  queued.record = std::move(record);
  queued.deadline = deadline;
  queued.done = std::move(done);
  m_queue.push_back(std::move(queued));
  Flush();
}

void IntakeWriter::Tick(base::MonoTime now) {
  for (size_t i = m_queue.size(); i-- > 0;) {
    if (m_queue[i].deadline <= now) {
      QueuedRecord queued = std::move(m_queue[i]);
      m_queue.erase(m_queue.begin() + static_cast<std::ptrdiff_t>(i));
      queued.done(queued.uncertain ? StoreOutcome::kUnknown
                                   : StoreOutcome::kNotStored);
    }
  }
  Flush();
}

void IntakeWriter::Flush() {
  const base::MonoTime now = m_clock.Now();
  // A slow log completes few appends per second, so they must be large.
  const int allowed = m_log_timing.IsSlow() ? 1 : kMaxInFlight;
  while (!m_queue.empty() && m_in_flight < allowed && now >= m_pause_until) {
    auto batch = std::make_shared<std::vector<QueuedRecord>>();
    AppendRequest request;
    request.topic = m_topic;
    request.timeout = m_log_timing.AppendTimeout();
    size_t bytes = 0;
    while (!m_queue.empty() && batch->size() < kMaxBatchRecords &&
           bytes < kMaxBatchBytes) {
      bytes += m_queue.front().record.size();
      request.records.push_back(m_queue.front().record);
      batch->push_back(std::move(m_queue.front()));
      m_queue.pop_front();
    }
    ++m_in_flight;
    m_log.Append(std::move(request), [this, batch, now](AppendResult result) {
      base::PushCompletion(m_mailbox, [this, batch, now, result] {
        --m_in_flight;
        OnAppend(std::move(*batch), result, now);
      });
    });
  }
}

void IntakeWriter::OnAppend(std::vector<QueuedRecord> batch,
                            const AppendResult& result,
                            base::MonoTime sent_at) {
  const base::MonoTime now = m_clock.Now();
  if (result.status == AppendStatus::kAppended) {
    m_failures = 0;
    m_last_contact = now;
    m_log_timing.AddLatency(base::Millis{base::MillisBetween(sent_at, now)});
    std::vector<std::string> records;
    records.reserve(batch.size());
    for (QueuedRecord& queued : batch) {
      records.push_back(std::move(queued.record));
    }
    m_on_stored(result.offset, records);
    for (QueuedRecord& queued : batch) {
      queued.done(StoreOutcome::kStored);
    }
    Flush();
    return;
  }
  ++m_failures;
  m_last_failure = now;
  base::LogEvent(base::Severity::kWarning, "AZ9204",
                 "append to the intake stream failed",
                 {{"status", std::string(AppendStatusName(result.status))},
                  {"records", std::to_string(batch.size())},
                  {"failures_in_row", std::to_string(m_failures)}});
  const bool unknown = result.status == AppendStatus::kUnknown;
  if (!unknown) {
    m_pause_until = now + kPauseAfterRefusal;
  }
  for (QueuedRecord& queued : batch) {
    queued.uncertain = queued.uncertain || unknown;
    ++queued.attempts;
    Retry(std::move(queued), sent_at, now);
  }
  Flush();
}

void IntakeWriter::OnLogContact(base::MonoTime sent_at) {
  m_last_contact = std::max(m_last_contact, sent_at);
}

// Retries after a lost response. But if the log has answered nothing else since
// the append was sent, it is unreachable from here; the record then fails at
// once, because another VM may still reach the log.
void IntakeWriter::Retry(QueuedRecord queued,
                         base::MonoTime sent_at,
                         base::MonoTime now) {
  const bool log_unreachable = queued.uncertain && m_last_contact < sent_at;
  const bool give_up = queued.deadline <= now ||
                       queued.attempts >= kMaxAttempts || failing() ||
                       log_unreachable;
  if (give_up) {
    queued.done(queued.uncertain ? StoreOutcome::kUnknown
                                 : StoreOutcome::kNotStored);
    return;
  }
  m_queue.push_back(std::move(queued));
}

}  // namespace azurespur::cell
