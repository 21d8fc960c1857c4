#include "node.h"

#include <utility>

#include "base/event_log.h"
#include "cell/topics.h"
#include "jobs/records.h"

namespace azurespur::cell {

using base::Millis;
using base::MonoTime;

bool Node::ApplyIntake(std::string_view bytes) {
  const auto record = jobs::DecodeIntake(bytes);
  if (!base::Ok(record)) {
    base::LogEvent(base::Severity::kError, "AZ9207",
                   "record can't be decoded; skipping it",
                   {{"stream", std::string(kIntakeTopic)},
                    {"offset", std::to_string(m_intake_tail.next())},
                    {"reason", base::GetError(record).message}});
    return true;
  }
  m_job_table.Apply(base::Value(record), m_intake_tail.next(), m_clock.Now());
  m_recent_intake.Add(m_intake_tail.next(), bytes);
  m_scheduling_needed = true;
  return true;
}

bool Node::ApplyWork(std::string_view bytes) {
  const auto record = jobs::DecodeWork(bytes);
  if (!base::Ok(record)) {
    base::LogEvent(base::Severity::kError, "AZ9207",
                   "record can't be decoded; skipping it",
                   {{"stream", std::string(kWorkTopic)},
                    {"offset", std::to_string(m_work_tail.next())},
                    {"reason", base::GetError(record).message}});
    return true;
  }
  const auto* mark = std::get_if<jobs::HeartbeatRecord>(&base::Value(record));
  if (mark != nullptr && mark->intake_end > m_intake_tail.next()) {
    if (!m_waiting_for_intake) {
      m_waiting_for_intake = true;
      m_intake_tail.Poll([this](bool read) {
        m_waiting_for_intake = false;
        // After a failed read PollStreams() paces the next one.
        if (read) {
          m_work_tail.Poll();
        }
      });
    }
    CatchUpFromPeer(m_intake_tail, Stream::kIntake, mark->intake_end);
    return false;
  }
  m_job_table.Apply(base::Value(record), m_clock.Now());
  m_recent_work.Add(m_work_tail.next(), bytes);
  m_scheduling_needed = true;
  if (const auto* lead =
          std::get_if<jobs::LeaderRecord>(&base::Value(record))) {
    base::LogEvent(base::Severity::kInfo, "AZ9301", "new leader elected",
                   {{"vm", lead->vm},
                    {"epoch", std::to_string(lead->epoch)},
                    {"offset", std::to_string(m_work_tail.next())}});
    m_last_heartbeat_sent = {};
    if (m_term && lead->epoch > m_term->epoch()) {
      StepDown("another VM leads");
    }
  }
  return true;
}

void Node::OnIntakeStored(int64_t offset,
                          const std::vector<std::string>& records) {
  m_intake_tail.AddRecords(offset, records);
  if (m_term) {
    NotifyPeers(Stream::kIntake, offset, records);
  } else if (!LeaderAddress().empty()) {
    Notify(LeaderAddress(), Stream::kIntake, offset, records, {});
  }
}

void Node::OnWorkStored(int64_t offset,
                        const std::vector<std::string>& records) {
  const MonoTime sent_at = m_term->last_append();
  m_work_tail.AddRecords(offset, records);
  if (m_work_tail.next() < offset + static_cast<int64_t>(records.size())) {
    // Should not happen: only this VM appends with its epoch.
    StepDown("work stream has records of another writer");
    return;
  }
  // The log rejects appends of others under lower epochs, so the stream ended
  // with this append when it was sent or later.
  m_work_tail.LearnEnd(offset + static_cast<int64_t>(records.size()), sent_at);
  NotifyPeers(Stream::kWork, offset, records);
  m_next_leader_heartbeat = m_clock.Now() + m_options.leader_heartbeat_interval;
}

}  // namespace azurespur::cell
