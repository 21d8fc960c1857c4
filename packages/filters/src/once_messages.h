// Query to the VM that holds the claim on a key, and its reply
// (Topic::kOnceQuery).

#ifndef FILTERS_ONCE_MESSAGES_H_
#define FILTERS_ONCE_MESSAGES_H_

#include <cstdint>
#include <string>

namespace azurespur::filters {

struct OnceQuery {
  std::string key;
  std::string claim_id;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(key, claim_id);
  }
};

struct OnceReply {
  uint8_t fate = 0;  // filters::Fate; if kInFlight, query again.
  std::string executor;
  std::string body;  // The executor's answer, if `fate` is kRan.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(fate, executor, body);
  }
};

}  // namespace azurespur::filters

#endif  // FILTERS_ONCE_MESSAGES_H_
