// Results of the claims made by this VM, kept to answer repeated requests.

#ifndef FILTERS_ONCE_ANSWERS_H_
#define FILTERS_ONCE_ANSWERS_H_

#include <cstddef>
#include <deque>
#include <map>
#include <mutex>
#include <optional>
#include <string>

#include "filters/fate.h"

namespace azurespur::filters {

struct OnceAnswer {
  Fate fate = Fate::kInFlight;
  std::string executor;
  std::string body;  // Set if `fate` is kRan.
};

// Thread-safe. Evicts the oldest ended claims above `max_bytes`; their fate is
// still available from the log.
class OnceAnswers {
 public:
  explicit OnceAnswers(size_t max_bytes) : m_max_bytes(max_bytes) {}

  void Begin(const std::string& claim_id);
  void End(const std::string& claim_id, OnceAnswer answer);
  std::optional<OnceAnswer> Find(const std::string& claim_id) const;

 private:
  static size_t EntryBytes(const std::string& claim_id,
                           const OnceAnswer& answer);

  const size_t m_max_bytes;
  mutable std::mutex m_mutex;
  std::map<std::string, OnceAnswer> m_answers;
  std::deque<std::string> m_ended;  // Oldest first.
  size_t m_bytes = 0;               // Size of the ended claims.
};

}  // namespace azurespur::filters

#endif  // FILTERS_ONCE_ANSWERS_H_
