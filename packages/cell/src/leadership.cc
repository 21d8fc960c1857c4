#include "leadership.h"

#include <algorithm>
#include <utility>

#include "base/event_log.h"

namespace azurespur::cell {

namespace {

constexpr size_t kMaxBatchRecords = 512;
constexpr base::Millis kResendAfterRefusal{40};

jobs::SchedulerOptions WithFence(jobs::SchedulerOptions options,
                                 uint64_t fence) {
  options.fence = fence;
  return options;
}

}  // namespace

Leadership::Leadership(const NodeOptions& options,
                       FencedLog& log,
                       base::Mailbox& mailbox,
                       const base::Clock& clock,
                       const jobs::JobTable& table,
                       const LogTiming& timing,
                       uint64_t epoch,
                       uint64_t sequence,
                       OnStored on_stored)
    : m_options(options),
      m_log(log),
      m_mailbox(mailbox),
      m_clock(clock),
      m_timing(timing),
      m_epoch(epoch),
      m_on_stored(std::move(on_stored)),
      m_scheduler(WithFence(options.scheduler, epoch), table),
      m_next_sequence(sequence + 1),
      m_last_append(clock.Now()),
      m_last_success(m_last_append) {
  m_scheduler.Adopt(m_last_append);
}

void Leadership::Pump(base::MonoTime now, int64_t intake_end) {
  for (jobs::PendingRecord& pending : m_output.records) {
    m_waiting.push_back(std::move(pending));
  }
  m_output.records.clear();
  if (m_in_flight) {
    if (!m_sent && now >= m_resend_at) {
      Send(now);
    }
    return;
  }
  const bool mark_due = now >= m_last_success + m_options.mark_interval;
  if ((m_waiting.empty() && !mark_due && !m_yielding) || m_yield_stored) {
    return;
  }
  m_batch = {};
  m_batch.sequence = m_next_sequence++;
  if (m_marked_intake_end != intake_end || m_waiting.empty()) {
    m_marked_intake_end = intake_end;
    m_batch.records.push_back(
        jobs::EncodeWork(jobs::HeartbeatRecord{m_epoch, intake_end}));
  }
  while (!m_waiting.empty() && m_batch.pending.size() < kMaxBatchRecords) {
    m_batch.records.push_back(jobs::EncodeWork(m_waiting.front().record));
    m_batch.pending.push_back(std::move(m_waiting.front()));
    m_waiting.pop_front();
  }
  if (m_yielding && m_waiting.empty()) {
    m_batch.records.push_back(jobs::EncodeWork(jobs::YieldRecord{m_epoch}));
  }
  m_in_flight = true;
  Send(now);
}

void Leadership::Send(base::MonoTime now) {
  m_sent = true;
  AppendCall call;
  call.topic = std::string(kWorkTopic);
  call.records = m_batch.records;
  call.producer =
      Producer{std::string(kLeaderProducer), m_epoch, m_batch.sequence};
  call.timeout = m_timing.AppendTimeout();
  auto self = weak_from_this();
  base::Mailbox& mailbox = m_mailbox;
  m_log.Append(std::move(call), [&mailbox, self, now](AppendResult result) {
    mailbox.Push([self, now, result] {
      if (const auto term = self.lock()) {
        term->OnAppend(result, now);
      }
    });
  });
}

void Leadership::OnAppend(const AppendResult& result, base::MonoTime sent_at) {
  m_sent = false;
  if (m_lost) {
    return;
  }
  const base::MonoTime now = m_clock.Now();
  switch (result.status) {
    case AppendStatus::kAppended:
      break;
    case AppendStatus::kRefused:
    case AppendStatus::kUnknown:
      // The same sequence number again has no second effect.
      m_resend_at = now + kResendAfterRefusal;
      ++m_failures;
      base::LogEvent(base::Severity::kWarning, "AZ9205",
                     "append of work failed; it is repeated",
                     {{"status", std::string(AppendStatusName(result.status))},
                      {"epoch", std::to_string(m_epoch)},
                      {"sequence", std::to_string(m_batch.sequence)}});
      return;
    default:
      base::LogEvent(base::Severity::kWarning, "AZ9206", "leadership lost",
                     {{"status", std::string(AppendStatusName(result.status))},
                      {"epoch", std::to_string(m_epoch)}});
      m_lost = true;
      return;
  }
  m_last_append = std::max(m_last_append, sent_at);
  m_last_success = now;
  m_failures = 0;
  m_in_flight = false;
  const Batch batch = std::exchange(m_batch, {});
  m_on_stored(result.offset, batch.records);
  for (const jobs::PendingRecord& pending : batch.pending) {
    m_scheduler.OnStored(pending, now, m_clock.Now(), m_output);
  }
  m_yield_stored = m_yielding && m_waiting.empty();
}

void Leadership::Yield() {
  m_yielding = true;
}

}  // namespace azurespur::cell
