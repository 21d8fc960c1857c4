// Ensures that a non-idempotent request runs at most once: its idempotency key
// is claimed in the log before the request is sent, and repeated requests get
// the result of the first one.
//
// Not thread-safe: all methods must be called on one thread. Log and peer
// results arrive on other threads and are passed to that thread via `post`.

#ifndef FILTERS_ONCE_FILTER_H_
#define FILTERS_ONCE_FILTER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "base/clock.h"
#include "base/outcome.h"
#include "control/log_channel.h"
#include "filters/once_ledger.h"
#include "filters/request_service_options.h"
#include "once_answers.h"
#include "refusal.h"

namespace azurespur::control {
class PeerBus;
}

namespace azurespur::filters {

// A request with an idempotency key.
struct KeyedRequest {
  uint64_t handle = 0;
  std::string key;
  std::string plan;
  uint64_t body_digest = 0;
  base::MonoTime deadline{};
};

// The request's claim won and the request may be sent until its deadline. The
// caller must call End() with `claim_id` whatever happens to the request.
struct OnceProceed {
  uint64_t handle = 0;
  std::string claim_id;
};

// The request repeats an earlier one that got this answer.
struct OnceRepeat {
  uint64_t handle = 0;
  OnceAnswer answer;
};

struct OnceRefused {
  uint64_t handle = 0;
  Refusal refusal;
};

using OnceDecision = std::variant<OnceProceed, OnceRepeat, OnceRefused>;

struct OnceClaimDone {
  uint64_t handle = 0;
  std::string claim_id;
  base::Outcome<control::LogPosition> outcome;
};

struct OnceQueryDone {
  uint64_t handle = 0;
  std::string claim_id;
  base::Outcome<std::string> outcome;
};

using OnceEvent = std::variant<OnceClaimDone, OnceQueryDone>;

struct OnceFilterDeps {
  control::LogChannel& log;
  OnceLedger& ledger;
  control::PeerBus& peers;
  RequestIdentity identity;
  RequestServiceOptions options;
  std::function<void(OnceEvent)> post;  // Called on any thread; must not block.
};

class OnceFilter {
 public:
  // Registers a handler that answers queries of peers from `answers`.
  OnceFilter(const OnceFilterDeps& deps, std::shared_ptr<OnceAnswers> answers);

  void Begin(KeyedRequest request, base::MonoTime now);
  void OnEvent(const OnceEvent& event, base::MonoTime now);

  // Ends the claim. Tick() appends its fate to the log until it appears there.
  void End(const std::string& key,
           const std::string& claim_id,
           OnceAnswer answer,
           base::MonoTime now);

  // Polls for the results of waiting repeats and appends unwritten fates.
  void Tick(base::MonoTime now);

  std::vector<OnceDecision> TakeDecisions();

  size_t pending() const { return m_pending.size(); }
  size_t unwritten_fates() const { return m_fates.size(); }

 private:
  struct PendingRequest {
    KeyedRequest request;
    bool claim_pending = false;
    bool query_pending = false;  // A query to the holder is in flight.
    // This VM's claim if `claim_pending`, else the claim that is followed.
    std::string claim_id;
    base::MonoTime next_poll{};
  };
  struct UnwrittenFate {
    std::string key;
    Fate fate = Fate::kNotRun;
    std::optional<RecordedAnswer> answer;
    base::MonoTime next_write{};
    base::MonoTime give_up_at{};
  };

  void Decide(PendingRequest& pending, base::MonoTime now);
  // Answers a repeat from the ledger, if the claim's holder can't be queried.
  void ReplyFromLedger(uint64_t handle, const OnceEntry& entry);
  void Claim(PendingRequest& pending, uint32_t attempt, base::MonoTime now);
  void FollowClaim(PendingRequest& pending,
                   const OnceEntry& entry,
                   base::MonoTime now);
  void QueryHolder(PendingRequest& pending, const OnceClaim& claim);
  void OnClaimDone(const OnceClaimDone& done, base::MonoTime now);
  void OnQueryDone(const OnceQueryDone& done, base::MonoTime now);
  void ReplyToRepeat(uint64_t handle, const OnceAnswer& answer);
  void Refuse(uint64_t handle, Refusal refusal);
  void WriteFates(base::MonoTime now);
  bool HolderIsGone(const OnceClaim& claim) const;
  bool IsOwn(const OnceClaim& claim) const;

  const OnceFilterDeps m_deps;
  const std::shared_ptr<OnceAnswers> m_answers;
  std::map<uint64_t, PendingRequest> m_pending;  // By handle.
  std::map<std::string, UnwrittenFate> m_fates;  // By claim id.
  std::vector<OnceDecision> m_decisions;
  uint64_t m_sequence = 1;
};

// 64-bit FNV-1a hash of a body. Recorded in claims, so it must be the same on
// all VMs.
uint64_t BodyDigest(std::string_view body);

}  // namespace azurespur::filters

#endif  // FILTERS_ONCE_FILTER_H_
