#include "node.h"

#include <utility>

#include "base/event_log.h"
#include "wire/codec.h"

namespace azurespur::cell {

using base::Millis;
using base::MonoTime;

void Node::SendTo(const std::string& address, const Message& message) {
  m_ports.datagrams.Send(address, wire::Encode(message));
}

void Node::Notify(const std::string& address,
                  Stream stream,
                  int64_t offset,
                  const std::vector<std::string>& records,
                  const LeaderSign& sign) {
  size_t bytes = 0;
  for (const std::string& record : records) {
    bytes += record.size();
  }
  RecordsNotice notice;
  notice.stream = stream;
  notice.offset = offset;
  notice.leader = sign;
  if (bytes <= kMaxNoticeBytes) {
    notice.records = records;
  }
  SendTo(address, notice);
}

void Node::NotifyPeers(Stream stream,
                       int64_t offset,
                       const std::vector<std::string>& records) {
  const LeaderSign sign = OwnSign();
  for (const auto& [vm, peer] : m_peers) {
    Notify(peer.address, stream, offset, records, sign);
  }
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
  NoteLeader(notice.leader);
  const auto end = notice.offset + static_cast<int64_t>(notice.records.size());
  if (notice.stream == Stream::kWork) {
    if (!m_lead) {
      m_leader_heard = m_clock.Now();
      m_work.Offer(notice.offset, notice.records);
      CatchUpFromLeader(m_work, Stream::kWork, end);
    }
    return;
  }
  const int64_t before = m_intake.next();
  m_intake.Offer(notice.offset, notice.records);
  if (m_lead && m_intake.next() > before) {
    NotifyPeers(Stream::kIntake, notice.offset, notice.records);
  } else if (!m_lead) {
    CatchUpFromLeader(m_intake, Stream::kIntake, end);
  }
}

void Node::OnMessage(const Alive& alive) {
  NoteLeader(alive.leader);
  if (m_lead || alive.leader.epoch < m_sign.epoch) {
    return;
  }
  m_leader_peers = alive.peers;
  // A leader that can't append should be replaced as soon as one that is gone.
  m_leader_heard = alive.log_ok ? m_clock.Now() : MonoTime{};
}

void Node::OnMessage(const Hello& hello) {
  const MonoTime now = m_clock.Now();
  PeerState& peer = m_peers[hello.vm];
  const bool known = peer.address == hello.address;
  peer.address = hello.address;
  peer.heard = now;
  peer.work_micros = hello.work_micros;
  if (!known) {
    base::LogEvent(base::Severity::kInfo, "AZ9402", "follower is here",
                   {{"vm", hello.vm}, {"address", hello.address}});
  }
}

void Node::OnMessage(const AdviceRequest& request) {
  jobs::AdviceQuery query;
  query.id = request.query_id;
  query.vm = m_options.vm;
  query.step = {request.job, request.step};
  query.workers = request.workers;
  query.timeout = Millis{request.timeout_ms};
  m_ports.advice.Ask(
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
  if (!m_lead || reply.epoch != m_lead->epoch()) {
    return;
  }
  if (reply.ok) {
    TakeAdvice(*m_lead, reply.query_id, reply.tickets);
  } else {
    TakeAdvice(*m_lead, reply.query_id,
               base::Error{base::ErrorCode::kUnavailable, "peer has none"});
  }
}

void Node::SayHello(MonoTime now) {
  const std::string& leader = LeaderAddress();
  if (leader.empty() || leader == m_options.peer_address ||
      now < m_last_hello + m_options.hello_interval || m_draining) {
    return;
  }
  m_last_hello = now;
  SendTo(leader,
         Hello{m_options.vm, m_options.peer_address, m_speed.WorkMicros()});
}

}  // namespace azurespur::cell
