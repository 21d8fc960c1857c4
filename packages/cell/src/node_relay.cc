// Support for VMs that can't reach the log: the leader appends their
// submissions, and any VM sends them the records that they can't read.

#include <algorithm>
#include <utility>

#include "base/event_log.h"
#include "jobs/records.h"
#include "node.h"

namespace azurespur::cell {

using base::Millis;
using base::MonoTime;

namespace {

constexpr Millis kMaxLeaderDatagramAge{350};
constexpr Millis kMaxForwardWait{60000};

}  // namespace

LeaderInfo Node::OwnLeaderInfo() const {
  return m_term ? LeaderInfo{m_term->epoch(), m_options.peer_address}
                : LeaderInfo{};
}

void Node::UpdateAnnouncedLeader(const LeaderInfo& leader) {
  if (leader.epoch <= m_announced_leader.epoch ||
      leader.epoch < m_job_table.epoch()) {
    return;
  }
  base::LogEvent(base::Severity::kInfo, "AZ9407",
                 "datagram names a leader of a later epoch",
                 {{"epoch", std::to_string(leader.epoch)},
                  {"address", leader.address},
                  {"known_epoch", std::to_string(m_job_table.epoch())}});
  m_announced_leader = leader;
  m_last_heartbeat_sent = {};
  if (m_term && leader.epoch > m_term->epoch()) {
    StepDown("another VM says that it leads");
  }
}

const std::string& Node::LeaderAddress() const {
  return m_announced_leader.epoch >= m_job_table.epoch() &&
                 !m_announced_leader.address.empty()
             ? m_announced_leader.address
             : m_job_table.leader().address;
}

bool Node::LeaderCanAppend(MonoTime now) const {
  return !m_term && now <= m_leader_heard + kMaxLeaderDatagramAge &&
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
                   "forwarded record can't be decoded; not storing it",
                   {{"from", forward.reply_to},
                    {"reason", base::GetError(record).message}});
    SendTo(forward.reply_to,
           ForwardedOutcome{forward.id, StoreOutcome::kNotStored});
    return;
  }
  const MonoTime deadline =
      m_clock.Now() +
      std::clamp(Millis{forward.wait_ms}, Millis{0}, kMaxForwardWait);
  const ForwardReceipt receipt =
      m_received_forwards.Receive(forward.reply_to, forward.id, deadline);
  if (receipt.step == ForwardStep::kAnswer) {
    SendTo(forward.reply_to, ForwardedOutcome{forward.id, receipt.outcome});
  } else if (receipt.step == ForwardStep::kStore) {
    StoreForwarded(forward, base::Value(record), deadline);
  }
}

// A submission counts as open at this VM too, since the append is its own.
void Node::StoreForwarded(const ForwardedIntake& forward,
                          const jobs::IntakeRecord& record,
                          MonoTime deadline) {
  const bool submits = jobs::SubmitsJob(record);
  const jobs::JobId job = jobs::JobOf(record);
  if (submits) {
    m_open_submissions.Begin(job);
  }
  m_intake_writer.Store(forward.record, deadline,
                        [this, submits, job, id = forward.id,
                         reply_to = forward.reply_to](StoreOutcome outcome) {
                          if (submits) {
                            m_open_submissions.End(job, outcome, m_clock.Now());
                            outcome = OutcomeToTell(job, outcome);
                          }
                          m_received_forwards.Finish(reply_to, id, outcome,
                                                     m_clock.Now());
                          SendTo(reply_to, ForwardedOutcome{id, outcome});
                        });
}

// Another VM tells its caller that a job that isn't stored never runs.
StoreOutcome Node::OutcomeToTell(jobs::JobId job, StoreOutcome outcome) const {
  const bool refused = outcome == StoreOutcome::kNotStored;
  return refused && RefusalOf(job, {}) != IntakeOutcome::kNotAccepted
             ? StoreOutcome::kUnknown
             : outcome;
}

void Node::OnMessage(const ForwardedOutcome& answer) {
  m_intake_forwarder.OnOutcome(answer.id, answer.outcome);
}

// The leader's link would not carry the records for several VMs.
std::string Node::NextPeer() {
  std::vector<std::string> peers = {LeaderAddress()};
  for (const std::string& address : m_leader_peers) {
    if (address != m_options.peer_address && address != LeaderAddress()) {
      peers.push_back(address);
    }
  }
  return peers[m_next_peer++ % peers.size()];
}

void Node::CatchUpFromPeer(LogTail& tail, Stream stream, int64_t known_end) {
  const MonoTime now = m_clock.Now();
  RequestPacer& pacer =
      stream == Stream::kWork ? m_work_requests : m_intake_requests;
  if (!tail.failing() || tail.next() >= known_end || !LeaderCanAppend(now) ||
      !pacer.ShouldRequest(tail.next(), now)) {
    return;
  }
  SendTo(NextPeer(),
         RecordsRequest{stream, tail.next(), m_options.peer_address});
}

// While this VM's link is full, the next request goes to another VM.
void Node::OnMessage(const RecordsRequest& request) {
  if (m_peer_sender.LinkWait() > kMaxLinkWaitForRequest) {
    return;
  }
  const RecentRecords& recent =
      request.stream == Stream::kWork ? m_recent_work : m_recent_intake;
  const std::vector<std::string> records =
      recent.From(request.from, kMaxNoticeRecordBytes);
  if (records.empty()) {
    base::LogEvent(
        base::Severity::kWarning, "AZ9405",
        "requested records are not in memory",
        {{"from", request.reply_to}, {"offset", std::to_string(request.from)}});
    return;
  }
  Notify(request.reply_to, request.stream, request.from, records,
         OwnLeaderInfo());
}

}  // namespace azurespur::cell
