#include "filters/once_ledger.h"

#include <utility>

#include "wire/codec.h"

namespace azurespur::filters {

namespace {

// Stored answers serve repeats of keys whose holder is gone.
constexpr size_t kMaxTotalAnswerBytes = 8 << 20;

// One key in the saved state.
struct SavedEntry {
  OnceClaim claim;
  int64_t written_ms = 0;
  bool ended = false;
  uint8_t fate = 0;
  bool has_answer = false;
  RecordedAnswer answer;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(claim, written_ms, ended, fate, has_answer, answer);
  }
};

bool IsFinalFate(uint8_t fate) {
  const Fate value = static_cast<Fate>(fate);
  return value == Fate::kRan || value == Fate::kNotRun ||
         value == Fate::kMayHaveRun;
}

}  // namespace

std::optional<OnceEntry> OnceLedger::Find(std::string_view key) const {
  std::lock_guard<std::mutex> lock(m_mutex);
  const auto it = m_entries.find(key);
  if (it == m_entries.end()) {
    return std::nullopt;
  }
  return it->second;
}

size_t OnceLedger::Size() const {
  std::lock_guard<std::mutex> lock(m_mutex);
  return m_entries.size();
}

void OnceLedger::OnEntry(const control::LogPosition& position,
                         const wire::LogEntry& entry) {
  std::lock_guard<std::mutex> lock(m_mutex);
  Expire(position.time_ms);
  if (entry.kind == static_cast<uint16_t>(wire::EntryKind::kOnceClaim)) {
    auto claim = wire::Decode<OnceClaim>(entry.payload);
    if (base::Ok(claim)) {
      ApplyClaim(base::Value(std::move(claim)), position.time_ms);
    }
  } else if (entry.kind == static_cast<uint16_t>(wire::EntryKind::kOnceFate)) {
    const auto fate = wire::Decode<OnceFate>(entry.payload);
    if (base::Ok(fate)) {
      ApplyFate(base::Value(fate), position.time_ms);
    }
  }
}

// A key without an entry accepts any attempt number, because the records of
// earlier attempts may have expired before this VM started.
void OnceLedger::ApplyClaim(OnceClaim claim, int64_t time_ms) {
  const auto it = m_entries.find(claim.key);
  if (it != m_entries.end()) {
    const OnceEntry& held = it->second;
    const bool follows =
        held.fate == Fate::kNotRun && claim.attempt == held.claim.attempt + 1;
    if (!follows) {
      return;
    }
  }
  m_by_time.emplace(time_ms, claim.key);
  std::string key = claim.key;
  m_entries.insert_or_assign(
      std::move(key),
      OnceEntry{std::move(claim), time_ms, std::nullopt, std::nullopt});
}

void OnceLedger::ApplyFate(const OnceFate& fate, int64_t time_ms) {
  const auto it = m_entries.find(fate.key);
  if (it == m_entries.end() || it->second.fate ||
      it->second.claim.claim_id != fate.claim_id || !IsFinalFate(fate.fate)) {
    return;
  }
  it->second.fate = static_cast<Fate>(fate.fate);
  if (fate.has_answer) {
    KeepAnswer(it->second, {fate.executor, fate.body});
  }
  it->second.written_ms = time_ms;
  m_by_time.emplace(time_ms, fate.key);
}

void OnceLedger::KeepAnswer(OnceEntry& entry, RecordedAnswer answer) {
  if (m_answer_bytes + answer.body.size() <= kMaxTotalAnswerBytes) {
    m_answer_bytes += answer.body.size();
    entry.answer = std::move(answer);
  }
}

// Uses record times only, so that all VMs expire a key at the same record.
void OnceLedger::Expire(int64_t now_ms) {
  const int64_t limit = now_ms - m_retention.count();
  while (!m_by_time.empty() && m_by_time.begin()->first < limit) {
    const auto it = m_entries.find(m_by_time.begin()->second);
    if (it != m_entries.end() && it->second.written_ms < limit) {
      if (it->second.answer) {
        m_answer_bytes -= it->second.answer->body.size();
      }
      m_entries.erase(it);
    }
    m_by_time.erase(m_by_time.begin());
  }
}

// Keys are not kept for longer than the log keeps their records, so no record
// needs to be written again.
std::vector<control::RefreshEntry> OnceLedger::Refresh(
    int64_t /*written_before_ms*/) {
  return {};
}

std::string OnceLedger::SaveState() const {
  std::lock_guard<std::mutex> lock(m_mutex);
  std::vector<SavedEntry> saved;
  saved.reserve(m_entries.size());
  for (const auto& [key, entry] : m_entries) {
    saved.push_back({entry.claim, entry.written_ms, entry.fate.has_value(),
                     static_cast<uint8_t>(entry.fate.value_or(Fate::kUnknown)),
                     entry.answer.has_value(),
                     entry.answer.value_or(RecordedAnswer{})});
  }
  return wire::Encode(saved);
}

base::Outcome<base::Unit> OnceLedger::LoadState(std::string_view bytes) {
  auto decoded = wire::Decode<std::vector<SavedEntry>>(bytes);
  if (!base::Ok(decoded)) {
    return base::GetError(decoded);
  }
  std::lock_guard<std::mutex> lock(m_mutex);
  m_entries.clear();
  m_by_time.clear();
  m_answer_bytes = 0;
  for (SavedEntry& saved : base::Value(decoded)) {
    OnceEntry entry{std::move(saved.claim), saved.written_ms, std::nullopt,
                    std::nullopt};
    if (saved.ended) {
      entry.fate = static_cast<Fate>(saved.fate);
    }
    if (saved.has_answer) {
      KeepAnswer(entry, std::move(saved.answer));
    }
    m_by_time.emplace(entry.written_ms, entry.claim.key);
    std::string key = entry.claim.key;
    m_entries.insert_or_assign(std::move(key), std::move(entry));
  }
  return base::Unit{};
}

}  // namespace azurespur::filters
