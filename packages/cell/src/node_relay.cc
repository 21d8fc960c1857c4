// What VMs do for one that can't reach the log: the leader appends its
// submissions and hands it the records that it can't read.

#include <algorithm>
#include <utility>

#include "base/event_log.h"
#include "jobs/records.h"
#include "node.h"

namespace azurespur::cell {

using base::Millis;
using base::MonoTime;

namespace {

constexpr Millis kLeaderHeardAge{350};
constexpr Millis kRecordsRequestInterval{30};

}  // namespace

LeaderSign Node::OwnSign() const {
  return m_lead ? LeaderSign{m_lead->epoch(), m_options.peer_address}
                : LeaderSign{};
}

void Node::NoteLeader(const LeaderSign& sign) {
  if (sign.epoch <= m_sign.epoch || sign.epoch < m_table.epoch()) {
    return;
  }
  base::LogEvent(base::Severity::kInfo, "AZ9407",
                 "a datagram names a later leader",
                 {{"epoch", std::to_string(sign.epoch)},
                  {"address", sign.address},
                  {"known_epoch", std::to_string(m_table.epoch())}});
  m_sign = sign;
  m_last_hello = {};
  if (m_lead && sign.epoch > m_lead->epoch()) {
    StepDown("another VM says that it leads");
  }
}

const std::string& Node::LeaderAddress() const {
  return m_sign.epoch >= m_table.epoch() && !m_sign.address.empty()
             ? m_sign.address
             : m_table.leader().address;
}

bool Node::LeaderCanAppend(MonoTime now) const {
  return !m_lead && now <= m_leader_heard + kLeaderHeardAge &&
         LeaderAddress() != m_options.peer_address && !LeaderAddress().empty();
}

void Node::SendForward(uint64_t id, const std::string& record, Millis wait) {
  SendTo(LeaderAddress(),
         ForwardedIntake{id, record, wait.count(), m_options.peer_address});
}

void Node::OnMessage(const ForwardedIntake& forward) {
  const auto record = jobs::DecodeIntake(forward.record);
  if (!base::Ok(record)) {
    base::LogEvent(base::Severity::kWarning, "AZ9404",
                   "record of another VM can't be read; it is not stored",
                   {{"from", forward.reply_to},
                    {"reason", base::GetError(record).message}});
    SendTo(forward.reply_to,
           ForwardedOutcome{forward.id, StoreOutcome::kNotStored});
    return;
  }
  const MonoTime deadline =
      m_clock.Now() + Millis{std::max<int64_t>(0, forward.wait_ms)};
  m_writer.Store(forward.record, deadline,
                 [this, id = forward.id,
                  reply_to = forward.reply_to](StoreOutcome outcome) {
                   SendTo(reply_to, ForwardedOutcome{id, outcome});
                 });
}

void Node::OnMessage(const ForwardedOutcome& answer) {
  m_forwards.OnOutcome(answer.id, answer.outcome);
}

void Node::CatchUpFromLeader(LogTail& tail, Stream stream, int64_t known_end) {
  const MonoTime now = m_clock.Now();
  if (!tail.failing() || tail.next() >= known_end ||
      now < m_next_records_request || !LeaderCanAppend(now)) {
    return;
  }
  m_next_records_request = now + kRecordsRequestInterval;
  SendTo(LeaderAddress(),
         RecordsRequest{stream, tail.next(), m_options.peer_address});
}

void Node::OnMessage(const RecordsRequest& request) {
  const RecentRecords& recent =
      request.stream == Stream::kWork ? m_recent_work : m_recent_intake;
  const std::vector<std::string> records =
      recent.From(request.from, kMaxNoticeBytes);
  if (records.empty()) {
    base::LogEvent(
        base::Severity::kWarning, "AZ9405",
        "records that a VM asks for are not kept",
        {{"from", request.reply_to}, {"offset", std::to_string(request.from)}});
    return;
  }
  Notify(request.reply_to, request.stream, request.from, records, OwnSign());
}

}  // namespace azurespur::cell
