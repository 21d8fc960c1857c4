// State of the idempotency keys, built by replaying the log stream "once".

#ifndef FILTERS_ONCE_LEDGER_H_
#define FILTERS_ONCE_LEDGER_H_

#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "control/log_observer.h"
#include "filters/fate.h"
#include "filters/once_records.h"

namespace azurespur::filters {

// An executor's answer as recorded in the log.
struct RecordedAnswer {
  std::string executor;
  std::string body;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(executor, body);
  }
};

// State of one key. The first claim recorded for an attempt wins. A new attempt
// is accepted only if the previous attempt ended as not-run.
struct OnceEntry {
  OnceClaim claim;           // The winning claim of the latest attempt.
  int64_t written_ms = 0;    // Log service time of the latest record.
  std::optional<Fate> fate;  // Set when the latest attempt has ended.
  // Set if the answer was recorded along with the fate.
  std::optional<RecordedAnswer> answer;
};

// Thread-safe.
class OnceLedger : public control::LogObserver {
 public:
  // Removes a key `retention` after its latest record.
  explicit OnceLedger(base::Millis retention) : m_retention(retention) {}

  std::optional<OnceEntry> Find(std::string_view key) const;
  size_t Size() const;

  void OnEntry(const control::LogPosition& position,
               const wire::LogEntry& entry) override;
  std::vector<control::RefreshEntry> Refresh(
      int64_t written_before_ms) override;
  std::string SaveState() const override;
  base::Outcome<base::Unit> LoadState(std::string_view bytes) override;

 private:
  void ApplyClaim(OnceClaim claim, int64_t time_ms);
  void ApplyFate(const OnceFate& fate, int64_t time_ms);
  void Expire(int64_t now_ms);
  // Stores the answer unless that exceeds the memory budget for answers.
  void KeepAnswer(OnceEntry& entry, RecordedAnswer answer);

  const base::Millis m_retention;
  mutable std::mutex m_mutex;
  std::map<std::string, OnceEntry, std::less<>> m_entries;
  size_t m_answer_bytes = 0;  // Total size of stored answers.
  std::multimap<int64_t, std::string> m_by_time;  // From `written_ms` to key.
};

}  // namespace azurespur::filters

#endif  // FILTERS_ONCE_LEDGER_H_
