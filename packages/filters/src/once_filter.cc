#include "once_filter.h"

#include <algorithm>
#include <utility>

#include "control/peer_bus.h"
#include "once_messages.h"
#include "wire/codec.h"

namespace azurespur::filters {

namespace {

constexpr base::Millis kLookInterval{50};
constexpr base::Millis kQueryTimeout{1000};
constexpr base::Millis kFateInterval{3000};  // Between writes of one fate.
constexpr base::Millis kLogRetry{2000};      // Advice to callers.
// Larger answers are kept by the VM that gave them only.
constexpr size_t kMaxRecordedAnswerBytes = 1024;
constexpr size_t kMaxOpen = 8192;

Refusal NotRun(int status, std::string error, std::string reason) {
  Refusal refusal;
  refusal.status = status;
  refusal.error = std::move(error);
  refusal.reason = std::move(reason);
  if (status == 503) {
    refusal.retry_after = kLogRetry;
  }
  return refusal;
}

Refusal LogAway() {
  return NotRun(503, "log_away",
                "the log service can't be reached to claim the key; this "
                "sending was not run");
}

Refusal HolderGone() {
  Refusal refusal;
  refusal.status = 502;
  refusal.error = "holder_gone";
  refusal.reason = "the VM that held the key ended without telling its fate";
  refusal.fate = Fate::kMayHaveRun;
  return refusal;
}

// The same fate as the first request with the key.
Refusal Repeated(Fate fate) {
  Refusal refusal;
  refusal.fate = fate;
  switch (fate) {
    case Fate::kRan:
      refusal.status = 409;
      refusal.error = "already_ran";
      refusal.reason = "the key ran; its answer is no longer kept";
      break;
    case Fate::kNotRun:
      refusal.error = "not_run";
      refusal.reason = "the request that claimed the key was not run";
      refusal.retry_after = kLogRetry;
      break;
    default:
      refusal.status = 502;
      refusal.error = "may_have_run";
      refusal.reason = "the request that claimed the key may have run";
      refusal.fate = Fate::kMayHaveRun;
  }
  return refusal;
}

std::string AnswerQuery(const OnceAnswers& answers, std::string_view payload) {
  OnceReply reply;
  const auto query = wire::Decode<OnceQuery>(payload);
  if (base::Ok(query)) {
    if (auto held = answers.Find(base::Value(query).claim_id)) {
      reply.fate = static_cast<uint8_t>(held->fate);
      reply.executor = std::move(held->executor);
      reply.body = std::move(held->body);
    }
  }
  return wire::Encode(reply);
}

}  // namespace

uint64_t BodyDigest(std::string_view body) {
  uint64_t hash = 14695981039346656037ULL;
  for (const char c : body) {
    hash = (hash ^ static_cast<unsigned char>(c)) * 1099511628211ULL;
  }
  return hash;
}

OnceFilter::OnceFilter(const OnceFilterDeps& deps,
                       std::shared_ptr<OnceAnswers> answers)
    : m_deps(deps), m_answers(std::move(answers)) {
  m_deps.peers.SetAnswerer(wire::Topic::kOnceQuery,
                           [held = m_answers](const wire::PeerMessage& message)
                               -> base::Outcome<std::string> {
                             return AnswerQuery(*held, message.payload);
                           });
}

void OnceFilter::Begin(OnceTicket ticket, base::MonoTime now) {
  if (m_tickets.size() >= kMaxOpen) {
    Refuse(ticket.handle, NotRun(503, "overloaded",
                                 "too many keyed requests wait for the log"));
    return;
  }
  const uint64_t handle = ticket.handle;
  OpenTicket& open = m_tickets[handle];
  open.ticket = std::move(ticket);
  Decide(open, now);
}

bool OnceFilter::IsOwn(const OnceClaim& claim) const {
  return claim.vm == m_deps.identity.vm_id &&
         claim.incarnation == m_deps.identity.incarnation;
}

// A known key leads to its fate even while the log is away.
void OnceFilter::Decide(OpenTicket& open, base::MonoTime now) {
  const std::optional<OnceEntry> entry = m_deps.ledger.Find(open.ticket.key);
  if (entry && (entry->claim.plan != open.ticket.plan ||
                entry->claim.body_digest != open.ticket.body_digest)) {
    Refuse(open.ticket.handle,
           NotRun(409, "key_conflict",
                  "key \"" + open.ticket.key +
                      "\" was used with another plan or body"));
    return;
  }
  if (entry && entry->fate != Fate::kNotRun) {
    Watch(open, *entry, now);
    return;
  }
  const control::LogChannelStatus status = m_deps.log.Status();
  if (!status.caught_up || !status.reachable ||
      status.silent_ms > m_deps.options.log_silence_limit.count()) {
    Refuse(open.ticket.handle, LogAway());
    return;
  }
  Claim(open, entry ? entry->claim.attempt + 1 : 1, now);
}

void OnceFilter::Claim(OpenTicket& open, uint32_t attempt, base::MonoTime now) {
  OnceClaim claim;
  claim.key = open.ticket.key;
  claim.attempt = attempt;
  claim.vm = m_deps.identity.vm_id;
  claim.incarnation = m_deps.identity.incarnation;
  claim.claim_id = claim.vm + "." + std::to_string(claim.incarnation) + "." +
                   std::to_string(m_sequence++);
  claim.plan = open.ticket.plan;
  claim.body_digest = open.ticket.body_digest;
  open.claiming = true;
  open.claim_id = claim.claim_id;
  m_answers->Begin(claim.claim_id);
  const base::MonoTime deadline =
      std::min(open.ticket.deadline, now + m_deps.options.once_claim_timeout);
  const uint64_t handle = open.ticket.handle;
  const bool queued = m_deps.log.Append(
      wire::EntryKind::kOnceClaim, wire::Encode(claim), deadline,
      [post = m_deps.post, handle,
       id = claim.claim_id](base::Outcome<control::LogPosition> outcome) {
        post(OnceClaimDone{handle, id, std::move(outcome)});
      });
  if (!queued) {
    m_answers->End(open.claim_id, {Fate::kNotRun, {}, {}});
    Refuse(handle, NotRun(503, "overloaded", "the log's queue is full"));
  }
}

void OnceFilter::OnEvent(const OnceEvent& event, base::MonoTime now) {
  if (const auto* claim = std::get_if<OnceClaimDone>(&event)) {
    OnClaim(*claim, now);
  } else {
    OnQuery(std::get<OnceQueryDone>(event), now);
  }
}

// A claim that is seen after its deadline is ended unused, so that repeats
// hear that it was not run.
void OnceFilter::OnClaim(const OnceClaimDone& done, base::MonoTime now) {
  const auto it = m_tickets.find(done.handle);
  const bool waited_for = it != m_tickets.end() && it->second.claiming &&
                          it->second.claim_id == done.claim_id;
  if (!waited_for) {
    return;
  }
  OpenTicket& open = it->second;
  const std::string key = open.ticket.key;
  if (!base::Ok(done.outcome)) {
    End(key, done.claim_id, {Fate::kNotRun, {}, {}}, now);
    Refuse(done.handle, LogAway());
    return;
  }
  const std::optional<OnceEntry> entry = m_deps.ledger.Find(key);
  const bool won = entry && entry->claim.claim_id == done.claim_id;
  if (!won) {
    open.claiming = false;
    m_answers->End(done.claim_id, {Fate::kNotRun, {}, {}});
    Decide(open, now);
    return;
  }
  if (now >= open.ticket.deadline) {
    End(key, done.claim_id, {Fate::kNotRun, {}, {}}, now);
    Refuse(done.handle,
           NotRun(503, "deadline", "the key was claimed after the deadline"));
    return;
  }
  m_decisions.emplace_back(OnceProceed{done.handle, done.claim_id});
  m_tickets.erase(it);
}

bool OnceFilter::HolderIsGone(const OnceClaim& claim) const {
  if (claim.vm == m_deps.identity.vm_id) {
    return claim.incarnation != m_deps.identity.incarnation;
  }
  for (const control::Peer& peer : m_deps.peers.Peers()) {
    if (peer.id == claim.vm) {
      return peer.suspected || peer.incarnation != claim.incarnation;
    }
  }
  return true;
}

void OnceFilter::Watch(OpenTicket& open,
                       const OnceEntry& entry,
                       base::MonoTime now) {
  open.claiming = false;
  open.claim_id = entry.claim.claim_id;
  open.next_look = now + kLookInterval;
  if (IsOwn(entry.claim)) {
    const auto held = m_answers->Find(entry.claim.claim_id);
    if (held && held->fate != Fate::kInFlight) {
      Tell(open.ticket.handle, *held);
      return;
    }
  }
  const bool gone = HolderIsGone(entry.claim);
  if (entry.fate && (*entry.fate != Fate::kRan || gone || IsOwn(entry.claim))) {
    TellRecorded(open.ticket.handle, entry);
  } else if (gone) {
    Refuse(open.ticket.handle, HolderGone());
  } else if (!IsOwn(entry.claim) && !open.asking) {
    AskHolder(open, entry.claim);
  }
}

void OnceFilter::AskHolder(OpenTicket& open, const OnceClaim& claim) {
  const OnceQuery query{claim.key, claim.claim_id};
  open.asking = m_deps.peers.Request(
      claim.vm, wire::Topic::kOnceQuery, wire::Encode(query), kQueryTimeout,
      [post = m_deps.post, handle = open.ticket.handle,
       id = claim.claim_id](base::Outcome<std::string> outcome) {
        post(OnceQueryDone{handle, id, std::move(outcome)});
      });
}

void OnceFilter::OnQuery(const OnceQueryDone& done, base::MonoTime now) {
  const auto it = m_tickets.find(done.handle);
  if (it == m_tickets.end()) {
    return;
  }
  OpenTicket& open = it->second;
  open.asking = false;
  open.next_look = now + kLookInterval;
  if (!base::Ok(done.outcome) || open.claim_id != done.claim_id) {
    return;
  }
  auto decoded = wire::Decode<OnceReply>(base::Value(done.outcome));
  if (!base::Ok(decoded)) {
    return;
  }
  OnceReply& reply = base::Value(decoded);
  const auto fate = static_cast<Fate>(reply.fate);
  if (fate == Fate::kUnknown) {
    const auto entry = m_deps.ledger.Find(open.ticket.key);
    const bool ended = entry && entry->claim.claim_id == done.claim_id &&
                       entry->fate.has_value();
    if (ended) {
      TellRecorded(done.handle, *entry);
    } else {
      Refuse(done.handle, HolderGone());
    }
  } else if (fate != Fate::kInFlight) {
    Tell(done.handle, {fate, std::move(reply.executor), std::move(reply.body)});
  }
}

void OnceFilter::TellRecorded(uint64_t handle, const OnceEntry& entry) {
  if (entry.fate == Fate::kRan && entry.answer) {
    Tell(handle, {Fate::kRan, entry.answer->executor, entry.answer->body});
  } else {
    Refuse(handle, Repeated(*entry.fate));
  }
}

void OnceFilter::Tell(uint64_t handle, const OnceAnswer& answer) {
  if (answer.fate == Fate::kRan) {
    m_decisions.emplace_back(OnceRepeat{handle, answer});
    m_tickets.erase(handle);
  } else {
    Refuse(handle, Repeated(answer.fate));
  }
}

void OnceFilter::Refuse(uint64_t handle, Refusal refusal) {
  m_decisions.emplace_back(OnceRefused{handle, std::move(refusal)});
  m_tickets.erase(handle);
}

void OnceFilter::End(const std::string& key,
                     const std::string& claim_id,
                     OnceAnswer answer,
                     base::MonoTime now) {
  UnwrittenFate& unwritten = m_fates[claim_id];
  unwritten = {key, answer.fate, std::nullopt, now,
               now + m_deps.options.once_retention};
  if (answer.fate == Fate::kRan &&
      answer.body.size() <= kMaxRecordedAnswerBytes) {
    unwritten.answer = {answer.executor, answer.body};
  }
  m_answers->End(claim_id, std::move(answer));
}

// A fate is written only once its claim is seen to have won, and again until
// the fate itself is seen. A claim whose append got no answer may win later.
void OnceFilter::WriteFates(base::MonoTime now) {
  for (auto it = m_fates.begin(); it != m_fates.end();) {
    UnwrittenFate& unwritten = it->second;
    const auto entry = m_deps.ledger.Find(unwritten.key);
    const bool own = entry && entry->claim.claim_id == it->first;
    if (now >= unwritten.until || (own && entry->fate)) {
      it = m_fates.erase(it);
      continue;
    }
    if (own && now >= unwritten.next_write) {
      OnceFate fate;
      fate.key = unwritten.key;
      fate.claim_id = it->first;
      fate.fate = static_cast<uint8_t>(unwritten.fate);
      if (unwritten.answer) {
        fate.has_answer = true;
        fate.executor = unwritten.answer->executor;
        fate.body = unwritten.answer->body;
      }
      unwritten.next_write = now + kFateInterval;
      m_deps.log.Append(wire::EntryKind::kOnceFate, wire::Encode(fate),
                        now + kFateInterval,
                        [](const base::Outcome<control::LogPosition>&) {});
    }
    ++it;
  }
}

void OnceFilter::Tick(base::MonoTime now) {
  WriteFates(now);
  std::vector<uint64_t> due;
  for (const auto& [handle, open] : m_tickets) {
    if (!open.claiming && now >= open.next_look) {
      due.push_back(handle);
    }
  }
  for (const uint64_t handle : due) {
    OpenTicket& open = m_tickets.at(handle);
    if (now >= open.ticket.deadline) {
      Refusal refusal = Repeated(Fate::kMayHaveRun);
      refusal.status = 504;
      refusal.reason = "the request that claimed the key is still running";
      Refuse(handle, std::move(refusal));
      continue;
    }
    const auto entry = m_deps.ledger.Find(open.ticket.key);
    if (entry && entry->claim.claim_id == open.claim_id) {
      Watch(open, *entry, now);
    } else {
      // The claim that was watched ended not-run and another followed, or its
      // record expired.
      Decide(open, now);
    }
  }
}

std::vector<OnceDecision> OnceFilter::TakeDecisions() {
  return std::exchange(m_decisions, {});
}

}  // namespace azurespur::filters
