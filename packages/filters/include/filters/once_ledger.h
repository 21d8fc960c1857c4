// Claims and fates of idempotency keys, built from the stream "once".

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

// An executor's answer as it stands in the log.
struct RecordedAnswer {
  std::string executor;
  std::string body;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(executor, body);
  }
};

// What is known of a key. The first claim record of an attempt wins; an
// attempt follows only one whose fate was not-run.
struct OnceEntry {
  OnceClaim claim;           // Winner of the latest attempt.
  int64_t written_ms = 0;    // Log service's clock, of the latest record.
  std::optional<Fate> fate;  // Of the latest attempt, once ended.
  // The answer, if it was recorded with the fate.
  std::optional<RecordedAnswer> answer;
};

class OnceLedger : public control::LogObserver {
 public:
  // Keys are forgotten `retention` after their last record.
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
  // Keeps the answer as long as all kept answers fit into their budget.
  void KeepAnswer(OnceEntry& entry, RecordedAnswer answer);

  const base::Millis m_retention;
  mutable std::mutex m_mutex;
  std::map<std::string, OnceEntry, std::less<>> m_entries;
  size_t m_answer_bytes = 0;                      // Of all kept answers.
  std::multimap<int64_t, std::string> m_by_time;  // `written_ms` to key.
};

}  // namespace azurespur::filters

#endif  // FILTERS_ONCE_LEDGER_H_
