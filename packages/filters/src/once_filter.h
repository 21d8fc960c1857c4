// Runs a non-idempotent request at most once: claims its key in the log before
// it may be sent, and leads repeats to the fate of the first.
//
// All methods are for one thread. Results of the log and of peers arrive on
// others and are passed back through `post`.

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

// One request that carries a key.
struct KeyedRequest {
  uint64_t handle = 0;
  std::string key;
  std::string plan;
  uint64_t body_digest = 0;
  base::MonoTime deadline{};
};

// The request won its key and may be sent until its deadline. Call End() with
// `claim_id` in any case.
struct OnceProceed {
  uint64_t handle = 0;
  std::string claim_id;
};

// The request repeats an earlier one, and this was its answer.
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
  std::function<void(OnceEvent)> post;  // Any thread; must not block.
};

class OnceFilter {
 public:
  // Answers peers' queries from `answers`.
  OnceFilter(const OnceFilterDeps& deps, std::shared_ptr<OnceAnswers> answers);

  void Begin(KeyedRequest request, base::MonoTime now);
  void OnEvent(const OnceEvent& event, base::MonoTime now);

  // Ends the claim; its fate is written to the log until it is seen there.
  void End(const std::string& key,
           const std::string& claim_id,
           OnceAnswer answer,
           base::MonoTime now);

  // Looks after repeats that wait and fates to be written.
  void Tick(base::MonoTime now);

  std::vector<OnceDecision> TakeDecisions();

  size_t pending() const { return m_pending.size(); }
  size_t unwritten_fates() const { return m_fates.size(); }

 private:
  struct PendingRequest {
    KeyedRequest request;
    bool claim_pending = false;
    bool query_pending = false;  // A query is under way.
    std::string claim_id;        // Own while claim_pending, else the holder's.
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
  // Answers a repeat whose holder can't be asked from what the log has.
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

// Digest of a body, equal on all VMs: 64-bit FNV-1a.
uint64_t BodyDigest(std::string_view body);

}  // namespace azurespur::filters

#endif  // FILTERS_ONCE_FILTER_H_
