#include "once_filter.h"

#include <algorithm>
#include <utility>

#include "control/peer_bus.h"
#include "once_messages.h"
#include "wire/codec.h"

namespace azurespur::filters {

namespace {

constexpr base::Millis kPollInterval{50};
constexpr base::Millis kQueryTimeout{1000};
constexpr base::Millis kFateWriteInterval{3000};  // Between writes of a fate.
constexpr base::Millis kLogRetryAfter{2000};      // Retry-After of errors.
// Larger answers are kept only in the memory of the VM that received them.
constexpr size_t kMaxRecordedAnswerBytes = 1024;
constexpr size_t kMaxPending = 8192;

Refusal NotRunRefusal(int status, std::string error, std::string reason) {
  Refusal refusal;
  refusal.status = status;
  refusal.error = std::move(error);
  refusal.reason = std::move(reason);
  if (status == 503) {
    refusal.retry_after = kLogRetryAfter;
  }
  return refusal;
}

Refusal LogUnreachableRefusal() {
  return NotRunRefusal(
      503, "log_away",
      "the log service can't be reached to claim the key; this "
      "sending was not run");
}

Refusal HolderGoneRefusal() {
  Refusal refusal;
  refusal.status = 502;
  refusal.error = "holder_gone";
  refusal.reason = "the VM that held the key ended without telling its fate";
  refusal.fate = Fate::kMayHaveRun;
  return refusal;
}

// Error for a repeated request, with the fate of the first request.
Refusal RepeatRefusal(Fate fate) {
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
      refusal.retry_after = kLogRetryAfter;
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

void OnceFilter::Begin(KeyedRequest request, base::MonoTime now) {
  if (m_pending.size() >= kMaxPending) {
    Refuse(request.handle,
           NotRunRefusal(503, "overloaded",
                         "too many keyed requests wait for the log"));
    return;
  }
  const uint64_t handle = request.handle;
  PendingRequest& pending = m_pending[handle];
  pending.request = std::move(request);
  Decide(pending, now);
}

bool OnceFilter::IsOwn(const OnceClaim& claim) const {
  return claim.vm == m_deps.identity.vm_id &&
         claim.incarnation == m_deps.identity.incarnation;
}

// A known key is resolved from the ledger even if the log is unreachable.
void OnceFilter::Decide(PendingRequest& pending, base::MonoTime now) {
  const std::optional<OnceEntry> entry =
      m_deps.ledger.Find(pending.request.key);
  if (entry && (entry->claim.plan != pending.request.plan ||
                entry->claim.body_digest != pending.request.body_digest)) {
    Refuse(pending.request.handle,
           NotRunRefusal(409, "key_conflict",
                         "key \"" + pending.request.key +
                             "\" was used with another plan or body"));
    return;
  }
  if (entry && entry->fate != Fate::kNotRun) {
    FollowClaim(pending, *entry, now);
    return;
  }
  const control::LogChannelStatus status = m_deps.log.Status();
  if (!status.caught_up || !status.reachable ||
      status.silent_ms > m_deps.options.log_silence_limit.count()) {
    Refuse(pending.request.handle, LogUnreachableRefusal());
    return;
  }
  Claim(pending, entry ? entry->claim.attempt + 1 : 1, now);
}

void OnceFilter::Claim(PendingRequest& pending,
                       uint32_t attempt,
                       base::MonoTime now) {
  OnceClaim claim;
  claim.key = pending.request.key;
  claim.attempt = attempt;
  claim.vm = m_deps.identity.vm_id;
  claim.incarnation = m_deps.identity.incarnation;
  claim.claim_id = claim.vm + "." + std::to_string(claim.incarnation) + "." +
                   std::to_string(m_sequence++);
  claim.plan = pending.request.plan;
  claim.body_digest = pending.request.body_digest;
  pending.claim_pending = true;
  pending.claim_id = claim.claim_id;
  m_answers->Begin(claim.claim_id);
  const base::MonoTime deadline = std::min(
      pending.request.deadline, now + m_deps.options.once_claim_timeout);
  const uint64_t handle = pending.request.handle;
  const bool queued = m_deps.log.Append(
      wire::EntryKind::kOnceClaim, wire::Encode(claim), deadline,
      [post = m_deps.post, handle,
       id = claim.claim_id](base::Outcome<control::LogPosition> outcome) {
        post(OnceClaimDone{handle, id, std::move(outcome)});
      });
  if (!queued) {
    m_answers->End(pending.claim_id, {Fate::kNotRun, {}, {}});
    Refuse(handle, NotRunRefusal(503, "overloaded", "the log's queue is full"));
  }
}

void OnceFilter::OnEvent(const OnceEvent& event, base::MonoTime now) {
  if (const auto* claim = std::get_if<OnceClaimDone>(&event)) {
    OnClaimDone(*claim, now);
  } else {
    OnQueryDone(std::get<OnceQueryDone>(event), now);
  }
}

// A claim that is confirmed after the request's deadline is ended as not-run
// without use, so that repeats learn that nothing was run.
void OnceFilter::OnClaimDone(const OnceClaimDone& done, base::MonoTime now) {
  const auto it = m_pending.find(done.handle);
  const bool is_current = it != m_pending.end() && it->second.claim_pending &&
                          it->second.claim_id == done.claim_id;
  if (!is_current) {
    return;
  }
  PendingRequest& pending = it->second;
  const std::string key = pending.request.key;
  if (!base::Ok(done.outcome)) {
    End(key, done.claim_id, {Fate::kNotRun, {}, {}}, now);
    Refuse(done.handle, LogUnreachableRefusal());
    return;
  }
  const std::optional<OnceEntry> entry = m_deps.ledger.Find(key);
  const bool won = entry && entry->claim.claim_id == done.claim_id;
  if (!won) {
    pending.claim_pending = false;
    m_answers->End(done.claim_id, {Fate::kNotRun, {}, {}});
    Decide(pending, now);
    return;
  }
  if (now >= pending.request.deadline) {
    End(key, done.claim_id, {Fate::kNotRun, {}, {}}, now);
    Refuse(done.handle,
           NotRunRefusal(503, "deadline",
                         "the key was claimed after the deadline"));
    return;
  }
  m_decisions.emplace_back(OnceProceed{done.handle, done.claim_id});
  m_pending.erase(it);
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

void OnceFilter::FollowClaim(PendingRequest& pending,
                             const OnceEntry& entry,
                             base::MonoTime now) {
  pending.claim_pending = false;
  pending.claim_id = entry.claim.claim_id;
  pending.next_poll = now + kPollInterval;
  if (IsOwn(entry.claim)) {
    const auto held = m_answers->Find(entry.claim.claim_id);
    if (held && held->fate != Fate::kInFlight) {
      ReplyToRepeat(pending.request.handle, *held);
      return;
    }
  }
  const bool gone = HolderIsGone(entry.claim);
  if (entry.fate && (*entry.fate != Fate::kRan || gone || IsOwn(entry.claim))) {
    ReplyFromLedger(pending.request.handle, entry);
  } else if (gone) {
    Refuse(pending.request.handle, HolderGoneRefusal());
  } else if (!IsOwn(entry.claim) && !pending.query_pending) {
    QueryHolder(pending, entry.claim);
  }
}

void OnceFilter::QueryHolder(PendingRequest& pending, const OnceClaim& claim) {
  const OnceQuery query{claim.key, claim.claim_id};
  pending.query_pending = m_deps.peers.Request(
      claim.vm, wire::Topic::kOnceQuery, wire::Encode(query), kQueryTimeout,
      [post = m_deps.post, handle = pending.request.handle,
       id = claim.claim_id](base::Outcome<std::string> outcome) {
        post(OnceQueryDone{handle, id, std::move(outcome)});
      });
}

void OnceFilter::OnQueryDone(const OnceQueryDone& done, base::MonoTime now) {
  const auto it = m_pending.find(done.handle);
  if (it == m_pending.end()) {
    return;
  }
  PendingRequest& pending = it->second;
  pending.query_pending = false;
  pending.next_poll = now + kPollInterval;
  if (!base::Ok(done.outcome) || pending.claim_id != done.claim_id) {
    return;
  }
  auto decoded = wire::Decode<OnceReply>(base::Value(done.outcome));
  if (!base::Ok(decoded)) {
    return;
  }
  OnceReply& reply = base::Value(decoded);
  const auto fate = static_cast<Fate>(reply.fate);
  if (fate == Fate::kUnknown) {
    const auto entry = m_deps.ledger.Find(pending.request.key);
    const bool ended = entry && entry->claim.claim_id == done.claim_id &&
                       entry->fate.has_value();
    if (ended) {
      ReplyFromLedger(done.handle, *entry);
    } else {
      Refuse(done.handle, HolderGoneRefusal());
    }
  } else if (fate != Fate::kInFlight) {
    ReplyToRepeat(done.handle,
                  {fate, std::move(reply.executor), std::move(reply.body)});
  }
}

void OnceFilter::ReplyFromLedger(uint64_t handle, const OnceEntry& entry) {
  if (entry.fate == Fate::kRan && entry.answer) {
    ReplyToRepeat(handle,
                  {Fate::kRan, entry.answer->executor, entry.answer->body});
  } else {
    Refuse(handle, RepeatRefusal(*entry.fate));
  }
}

void OnceFilter::ReplyToRepeat(uint64_t handle, const OnceAnswer& answer) {
  if (answer.fate == Fate::kRan) {
    m_decisions.emplace_back(OnceRepeat{handle, answer});
    m_pending.erase(handle);
  } else {
    Refuse(handle, RepeatRefusal(answer.fate));
  }
}

void OnceFilter::Refuse(uint64_t handle, Refusal refusal) {
  m_decisions.emplace_back(OnceRefused{handle, std::move(refusal)});
  m_pending.erase(handle);
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

// Writes a fate only after its claim is known to have won, and retries until
// the fate itself appears in the log. A claim whose append was not acknowledged
// may still win later.
void OnceFilter::WriteFates(base::MonoTime now) {
  for (auto it = m_fates.begin(); it != m_fates.end();) {
    UnwrittenFate& unwritten = it->second;
    const auto entry = m_deps.ledger.Find(unwritten.key);
    const bool won = entry && entry->claim.claim_id == it->first;
    if (now >= unwritten.give_up_at || (won && entry->fate)) {
      it = m_fates.erase(it);
      continue;
    }
    if (won && now >= unwritten.next_write) {
      OnceFate fate;
      fate.key = unwritten.key;
      fate.claim_id = it->first;
      fate.fate = static_cast<uint8_t>(unwritten.fate);
      if (unwritten.answer) {
        fate.has_answer = true;
        fate.executor = unwritten.answer->executor;
        fate.body = unwritten.answer->body;
      }
      unwritten.next_write = now + kFateWriteInterval;
      m_deps.log.Append(wire::EntryKind::kOnceFate, wire::Encode(fate),
                        now + kFateWriteInterval,
                        [](const base::Outcome<control::LogPosition>&) {});
    }
    ++it;
  }
}

void OnceFilter::Tick(base::MonoTime now) {
  WriteFates(now);
  std::vector<uint64_t> due;
  for (const auto& [handle, pending] : m_pending) {
    if (!pending.claim_pending && now >= pending.next_poll) {
      due.push_back(handle);
    }
  }
  for (const uint64_t handle : due) {
    PendingRequest& pending = m_pending.at(handle);
    if (now >= pending.request.deadline) {
      Refusal refusal = RepeatRefusal(Fate::kMayHaveRun);
      refusal.status = 504;
      refusal.reason = "the request that claimed the key is still running";
      Refuse(handle, std::move(refusal));
      continue;
    }
    const auto entry = m_deps.ledger.Find(pending.request.key);
    if (entry && entry->claim.claim_id == pending.claim_id) {
      FollowClaim(pending, *entry, now);
    } else {
      // The followed claim ended as not-run and was succeeded by another one,
      // or its record expired.
      Decide(pending, now);
    }
  }
}

std::vector<OnceDecision> OnceFilter::TakeDecisions() {
  return std::exchange(m_decisions, {});
}

}  // namespace azurespur::filters
