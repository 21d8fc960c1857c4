// A disruptive action that waits for the operators' approval. Payload of a
// kProposal entry.

#ifndef CONTROL_PROPOSAL_H_
#define CONTROL_PROPOSAL_H_

#include <cstdint>
#include <string>

namespace azurespur::control {

struct Proposal {
  std::string id;       // Equal for repeats of the same action.
  std::string plan;     // Whose allowance has to approve it.
  std::string action;   // "evict", "rebalance", "give-back".
  std::string subject;  // Task or worker.
  std::string reason;
  int64_t ttl_ms = 0;
  int64_t proposed_ms = 0;  // The log's clock; 0 until it is in the stream.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(id, plan, action, subject, reason, ttl_ms, proposed_ms);
  }
};

}  // namespace azurespur::control

#endif  // CONTROL_PROPOSAL_H_
