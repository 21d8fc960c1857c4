// Payloads of the records in the log stream "once".

#ifndef FILTERS_ONCE_RECORDS_H_
#define FILTERS_ONCE_RECORDS_H_

#include <cstdint>
#include <string>

namespace azurespur::filters {

// Claims `key` for one attempt by one VM. Payload of EntryKind::kOnceClaim.
struct OnceClaim {
  std::string key;
  uint32_t attempt = 1;
  std::string claim_id;  // Unique for each claim.
  std::string vm;
  uint64_t incarnation = 0;
  std::string plan;
  uint64_t body_digest = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(key, attempt, claim_id, vm, incarnation, plan, body_digest);
  }
};

// Ends the attempt won by `claim_id`. Payload of EntryKind::kOnceFate.
struct OnceFate {
  std::string key;
  std::string claim_id;
  uint8_t fate = 0;  // A value of filters::Fate.
  // The answer is included only if the fate is kRan and the body is small.
  bool has_answer = false;
  std::string executor;
  std::string body;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(key, claim_id, fate, has_answer, executor, body);
  }
};

}  // namespace azurespur::filters

#endif  // FILTERS_ONCE_RECORDS_H_
