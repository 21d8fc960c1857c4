#include "node.h"

#include <algorithm>
#include <utility>

#include "base/event_log.h"
#include "wire/codec.h"

namespace azurespur::cell {

using base::Millis;
using base::MonoTime;

namespace {

constexpr Millis kMaxAdviceTimeout{60000};

}  // namespace

void Node::SendTo(const std::string& address, const Message& message) {
  m_peer_sender.Send(address, message);
}

void Node::Notify(const std::string& address,
                  Stream stream,
                  int64_t offset,
                  const std::vector<std::string>& records,
                  const LeaderInfo& leader) {
  size_t bytes = 0;
  for (const std::string& record : records) {
    bytes += record.size();
  }
  RecordsSegment segment{stream, offset, offset, {}};
  segment.end += static_cast<int64_t>(records.size());
  if (bytes <= kMaxNoticeRecordBytes) {
    segment.records = records;
  }
  SendTo(address, RecordsNotice{{std::move(segment)}, leader});
}

void Node::NotifyPeers(Stream stream,
                       int64_t offset,
                       const std::vector<std::string>& records) {
  m_fan_out.Add(stream, offset, records);
  m_fan_out.FlushIfDue(m_clock.Now(), OwnLeaderInfo(), PeerAddresses());
}

std::vector<std::string> Node::PeerAddresses() const {
  std::vector<std::string> addresses;
  for (const auto& [vm, peer] : m_peers) {
    addresses.push_back(peer.address);
  }
  return addresses;
}

void Node::OnDatagram(std::string_view bytes) {
  const auto message = wire::Decode<Message>(bytes);
  if (!base::Ok(message)) {
    base::LogEvent(base::Severity::kWarning, "AZ9401", "datagram is malformed",
                   {{"bytes", std::to_string(bytes.size())},
                    {"reason", base::GetError(message).message}});
    return;
  }
  std::visit([this](const auto& one) { OnMessage(one); }, base::Value(message));
}

void Node::OnMessage(const RecordsNotice& notice) {
  UpdateAnnouncedLeader(notice.leader);
  for (const RecordsSegment& segment : notice.segments) {
    OnSegment(segment);
  }
}

void Node::OnSegment(const RecordsSegment& segment) {
  if (segment.stream == Stream::kWork) {
    if (!m_term) {
      m_leader_heard = m_clock.Now();
      OnAnnouncement(m_work_tail, segment);
    }
    return;
  }
  const int64_t before = m_intake_tail.next();
  OnAnnouncement(m_intake_tail, segment);
  if (m_term && m_intake_tail.next() > before) {
    NotifyPeers(Stream::kIntake, segment.offset, segment.records);
  }
}

void Node::OnAnnouncement(LogTail& tail, const RecordsSegment& segment) {
  if (segment.end <= tail.next()) {
    return;
  }
  tail.AddRecords(segment.offset, segment.records);
  if (!m_term) {
    CatchUpFromPeer(tail, segment.stream, segment.end);
  }
}

void Node::OnMessage(const LeaderHeartbeat& heartbeat) {
  UpdateAnnouncedLeader(heartbeat.leader);
  if (m_term || heartbeat.leader.epoch < m_announced_leader.epoch) {
    return;
  }
  m_leader_peers = heartbeat.peers;
  // A new leader doesn't know its followers yet.
  if (heartbeat.best_suitability > 0) {
    m_best_peer_suitability = heartbeat.best_suitability;
  }
  // A leader that can't append must be replaced as soon as an unreachable one.
  m_leader_heard = heartbeat.log_ok ? m_clock.Now() : MonoTime{};
}

void Node::OnMessage(const FollowerHeartbeat& heartbeat) {
  const MonoTime now = m_clock.Now();
  PeerState& peer = m_peers[heartbeat.vm];
  const bool known = peer.address == heartbeat.address;
  peer.address = heartbeat.address;
  peer.last_heard = now;
  peer.work_micros = heartbeat.work_micros;
  peer.resources = heartbeat.resources;
  peer.ready = heartbeat.ready;
  if (!known) {
    m_next_full_heartbeat = {};
    base::LogEvent(base::Severity::kInfo, "AZ9402", "follower registered",
                   {{"vm", heartbeat.vm}, {"address", heartbeat.address}});
  }
}

void Node::OnMessage(const AdviceRequest& request) {
  jobs::AdviceQuery query;
  query.id = request.query_id;
  query.vm = m_options.vm;
  query.step = {request.job, request.step};
  query.workers = request.workers;
  query.timeout =
      std::clamp(Millis{request.timeout_ms}, Millis{0}, kMaxAdviceTimeout);
  m_dependencies.advice.Query(
      query, [this, epoch = request.epoch, id = request.query_id,
              reply_to = request.reply_to](
                 base::Outcome<std::vector<jobs::AdviceTicket>> outcome) {
        AdviceReply reply;
        reply.epoch = epoch;
        reply.query_id = id;
        reply.ok = base::Ok(outcome);
        if (reply.ok) {
          reply.tickets = base::Value(std::move(outcome));
        }
        SendTo(reply_to, reply);
      });
}

void Node::OnMessage(const AdviceReply& reply) {
  if (!m_term || reply.epoch != m_term->epoch()) {
    return;
  }
  if (reply.ok) {
    OnAdvice(*m_term, reply.query_id, reply.tickets);
  } else {
    OnAdvice(
        *m_term, reply.query_id,
        base::Error{base::ErrorCode::kUnavailable, "peer returned no advice"});
  }
}

void Node::OnMessage(const ForwardedEnds& forwarded) {
  if (!m_term) {
    return;
  }
  for (const WorkerEnd& end : forwarded.ends) {
    m_term->scheduler().OnForwardedEnd(end.end, end.worker, m_clock.Now(),
                                       m_term->output());
  }
  m_scheduling_needed = true;
}

void Node::ForwardUnstoredEnds(MonoTime now) {
  const std::string& leader = LeaderAddress();
  if (m_unstored_ends.empty() || leader.empty() ||
      leader == m_options.peer_address) {
    return;
  }
  m_unstored_ends.RemoveKnown(m_job_table, now);
  ForwardedEnds forwarded{m_unstored_ends.TakeDue(kMaxNoticeRecordBytes, now)};
  if (forwarded.ends.empty()) {
    return;
  }
  base::LogEvent(
      base::Severity::kInfo, "AZ9410",
      "handing ends of runs to the later leader",
      {{"ends", std::to_string(forwarded.ends.size())}, {"leader", leader}});
  SendTo(leader, forwarded);
}

void Node::SendFollowerHeartbeat(MonoTime now) {
  const std::string& leader = LeaderAddress();
  if (leader.empty() || leader == m_options.peer_address ||
      now < m_last_heartbeat_sent + m_options.follower_heartbeat_interval ||
      m_draining) {
    return;
  }
  m_last_heartbeat_sent = now;
  SendTo(leader, FollowerHeartbeat{m_options.vm, m_options.peer_address,
                                   m_speed_probe.WorkMicros(),
                                   m_options.resources, CanTakeOver()});
}

}  // namespace azurespur::cell
