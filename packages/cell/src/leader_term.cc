#include "leader_term.h"

#include <algorithm>
#include <utility>

#include "base/event_log.h"
#include "election.h"

namespace azurespur::cell {

namespace {

constexpr size_t kMaxBatchRecords = 512;
// 10 Mbit/s carry it in a tenth of the shortest timeout of an append.
constexpr size_t kMaxBatchBytes = 64 << 10;
constexpr base::Millis kResendDelay{40};

jobs::SchedulerOptions TermOptions(const NodeOptions& node, uint64_t epoch) {
  jobs::SchedulerOptions options = node.scheduler;
  options.fence = epoch;
  options.last_fence = LastFence(epoch);
  options.link_mbps = node.resources.link_mbps;
  return options;
}

}  // namespace

LeaderTerm::LeaderTerm(const NodeOptions& options,
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
      m_log_timing(timing),
      m_epoch(epoch),
      m_on_stored(std::move(on_stored)),
      m_scheduler(TermOptions(options, epoch), table),
      m_next_sequence(sequence + 1),
      m_last_append(clock.Now()),
      m_last_success(m_last_append) {
  m_scheduler.Adopt(m_last_append);
}

void LeaderTerm::AppendPending(base::MonoTime now, int64_t intake_end) {
  for (jobs::PendingRecord& pending : m_output.records) {
    m_queue.push_back(std::move(pending));
  }
  m_output.records.clear();
  if (m_in_flight) {
    if (!m_sent && now >= m_resend_at) {
      Send(now);
    }
    return;
  }
  const bool heartbeat_due =
      now >= m_last_success + m_options.max_append_interval;
  if ((m_queue.empty() && !heartbeat_due && !m_yielding) || m_yield_stored) {
    return;
  }
  m_batch = {};
  m_batch.sequence = m_next_sequence++;
  if (m_recorded_intake_end != intake_end || m_queue.empty()) {
    m_recorded_intake_end = intake_end;
    jobs::HeartbeatRecord heartbeat{m_epoch, intake_end};
    if (m_told_settled_binds != m_settled_binds) {
      m_told_settled_binds = m_settled_binds;
      heartbeat.settled_binds = m_settled_binds;
    }
    m_batch.records.push_back(jobs::EncodeWork(heartbeat));
  }
  size_t bytes = 0;
  while (!m_queue.empty() && m_batch.pending.size() < kMaxBatchRecords &&
         bytes < kMaxBatchBytes) {
    m_batch.records.push_back(jobs::EncodeWork(m_queue.front().record));
    bytes += m_batch.records.back().size();
    m_batch.pending.push_back(std::move(m_queue.front()));
    m_queue.pop_front();
  }
  if (m_queue.empty()) {
    m_settled_binds = m_scheduler.settled_binds();
  }
  if (m_yielding && m_queue.empty()) {
    m_batch.records.push_back(jobs::EncodeWork(jobs::YieldRecord{m_epoch}));
  }
  m_in_flight = true;
  Send(now);
}

void LeaderTerm::Send(base::MonoTime now) {
  m_sent = true;
  AppendRequest request;
  request.topic = std::string(kWorkTopic);
  request.records = m_batch.records;
  request.producer =
      Producer{std::string(kLeaderProducer), m_epoch, m_batch.sequence};
  request.timeout = m_log_timing.AppendTimeout();
  auto self = weak_from_this();
  base::Mailbox& mailbox = m_mailbox;
  m_log.Append(std::move(request), [&mailbox, self, now](AppendResult result) {
    base::PushCompletion(mailbox, [self, now, result] {
      if (const auto term = self.lock()) {
        term->OnAppend(result, now);
      }
    });
  });
}

void LeaderTerm::OnAppend(const AppendResult& result, base::MonoTime sent_at) {
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
      // A retry with the same sequence number has no second effect.
      m_resend_at = now + kResendDelay;
      ++m_failures;
      base::LogEvent(base::Severity::kWarning, "AZ9205",
                     "append to the work stream failed; retrying",
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
  m_scheduler.OnAppended(result.latency);
  m_last_append = std::max(m_last_append, sent_at);
  m_last_success = now;
  m_failures = 0;
  m_in_flight = false;
  const Batch batch = std::exchange(m_batch, {});
  m_on_stored(result.offset, batch.records);
  for (const jobs::PendingRecord& pending : batch.pending) {
    m_scheduler.OnStored(pending, sent_at, m_clock.Now(), m_output);
  }
  m_yield_stored = m_yielding && m_queue.empty();
}

std::vector<jobs::PendingRecord> LeaderTerm::Unstored() const {
  std::vector<jobs::PendingRecord> unstored = m_batch.pending;
  unstored.insert(unstored.end(), m_queue.begin(), m_queue.end());
  unstored.insert(unstored.end(), m_output.records.begin(),
                  m_output.records.end());
  return unstored;
}

void LeaderTerm::Yield() {
  m_yielding = true;
}

}  // namespace azurespur::cell
