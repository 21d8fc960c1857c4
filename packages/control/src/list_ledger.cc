#include "control/list_ledger.h"

#include <map>
#include <mutex>
#include <utility>

#include "base/clock.h"
#include "base/event_log.h"
#include "control/list_edit.h"
#include "ledger_state.h"
#include "lists_machine.h"
#include "proposal_table.h"
#include "wire/codec.h"

namespace azurespur::control {

namespace {

// Edits held until the state before them is known. Beyond it, the state has to
// come from a later place.
constexpr size_t kMaxHeldEdits = 4096;

struct HeldEdit {
  LogPosition position;
  ListEdit edit;
};

LogPosition PlaceOf(const ListsState& state) {
  return LogPosition{state.offset, state.index, 0};
}

bool IsNewer(const ListsState& state, const ListsSnapshot& current) {
  return state.plans.version > current.plans_version ||
         state.allowances.version > current.allowances_version;
}

}  // namespace

class ListLedger::State {
 public:
  explicit State(const base::Clock& clock) : m_clock(clock) {}

  void OnEntry(const LogPosition& position, const wire::LogEntry& entry);
  void OnGap(uint64_t first);
  std::vector<RefreshEntry> Refresh(int64_t written_before_ms) const;
  LedgerState Save() const;
  base::Outcome<base::Unit> Load(const LedgerState& saved);

  mutable std::mutex m_mutex;
  bool m_complete = true;
  ListsMachine m_machine;
  ProposalTable m_proposals;
  std::map<ListName, int64_t> m_in_force_since;

 private:
  void OnEdit(const LogPosition& position, const wire::LogEntry& entry);
  void OnRefresh(const LogPosition& position, const wire::LogEntry& entry);
  void OnProposal(const LogPosition& position, const wire::LogEntry& entry);
  void TakeOver(const ListsState& state);
  bool ClosesGap(const ListsState& state) const;
  void Hold(const LogPosition& position, ListEdit edit);
  void ReplayHeld(const LogPosition& after);
  void ApplyEdit(const LogPosition& position, const ListEdit& edit);
  void NoteChanges(const ListsSnapshot& before);
  ListsState SaveLists() const;

  const base::Clock& m_clock;
  bool m_has_place = false;
  LogPosition m_place;           // Of the last entry.
  uint64_t m_complete_from = 0;  // Everything from this offset on was read.
  std::vector<HeldEdit> m_held;
  // Log time of the last record from which the whole state can be rebuilt.
  int64_t m_restated_ms = 0;
};

void ListLedger::State::OnEntry(const LogPosition& position,
                                const wire::LogEntry& entry) {
  if (m_has_place && !(m_place < position)) {
    return;
  }
  if (m_restated_ms == 0) {
    m_restated_ms = position.time_ms;
  }
  switch (static_cast<wire::EntryKind>(entry.kind)) {
    case wire::EntryKind::kListEdit:
      OnEdit(position, entry);
      break;
    case wire::EntryKind::kListRefresh:
      OnRefresh(position, entry);
      break;
    case wire::EntryKind::kProposal:
      OnProposal(position, entry);
      break;
    default:
      break;
  }
  m_proposals.Expire(position.time_ms);
  m_place = position;
  m_has_place = true;
}

void ListLedger::State::OnEdit(const LogPosition& position,
                               const wire::LogEntry& entry) {
  base::Outcome<ListEdit> edit = wire::Decode<ListEdit>(entry.payload);
  if (!base::Ok(edit)) {
    base::LogEvent(
        base::Severity::kError, "AZ8001", "list edit is malformed",
        {{"entry", entry.id}, {"error", base::GetError(edit).message}});
    return;
  }
  if (m_complete) {
    ApplyEdit(position, base::Value(edit));
    return;
  }
  Hold(position, base::Value(std::move(edit)));
}

void ListLedger::State::OnRefresh(const LogPosition& position,
                                  const wire::LogEntry& entry) {
  const base::Outcome<ListsState> state =
      wire::Decode<ListsState>(entry.payload);
  if (!base::Ok(state)) {
    base::LogEvent(
        base::Severity::kError, "AZ8002", "list refresh is malformed",
        {{"entry", entry.id}, {"error", base::GetError(state).message}});
    return;
  }
  m_restated_ms = position.time_ms;
  // A complete VM has applied every entry before `position` and so knows
  // everything the state can hold.
  if (!m_complete) {
    TakeOver(base::Value(state));
  }
}

// Puts a newer state in force, and completes this VM if nothing between the
// state's place and the first record read here is missing.
void ListLedger::State::TakeOver(const ListsState& state) {
  const bool closes_gap = ClosesGap(state);
  if (!closes_gap && !IsNewer(state, *m_machine.current())) {
    return;
  }
  const auto before = m_machine.current();
  const base::Outcome<base::Unit> adopted = m_machine.Adopt(state);
  if (!base::Ok(adopted)) {
    base::LogEvent(base::Severity::kError, "AZ8003", "list refresh not applied",
                   {{"error", base::GetError(adopted).message}});
    return;
  }
  NoteChanges(*before);
  if (closes_gap) {
    m_complete = true;
    ReplayHeld(PlaceOf(state));
    base::LogEvent(base::Severity::kInfo, "AZ8004", "lists are complete",
                   {{"offset", std::to_string(state.offset)}});
  }
}

// A state covers whole records, so the next record is the first it may lack.
bool ListLedger::State::ClosesGap(const ListsState& state) const {
  return state.offset + 1 >= m_complete_from;
}

void ListLedger::State::Hold(const LogPosition& position, ListEdit edit) {
  if (m_held.size() == kMaxHeldEdits) {
    m_held.clear();
    m_complete_from = position.offset + 1;
    return;
  }
  m_held.push_back({position, std::move(edit)});
}

void ListLedger::State::ReplayHeld(const LogPosition& after) {
  for (const HeldEdit& held : std::exchange(m_held, {})) {
    if (after < held.position) {
      ApplyEdit(held.position, held.edit);
    }
  }
}

void ListLedger::State::ApplyEdit(const LogPosition& position,
                                  const ListEdit& edit) {
  const auto before = m_machine.current();
  m_machine.Apply(edit, position.offset);
  NoteChanges(*before);
}

void ListLedger::State::NoteChanges(const ListsSnapshot& before) {
  const ListsSnapshot& now = *m_machine.current();
  const std::map<ListName, bool> changed = {
      {ListName::kPlans, now.plans_version != before.plans_version},
      {ListName::kAllowances,
       now.allowances_version != before.allowances_version}};
  for (const auto& [list, is_changed] : changed) {
    if (!is_changed) {
      continue;
    }
    m_in_force_since[list] = m_clock.WallMillis();
    const ListVersion& version = m_machine.history(list).Latest();
    base::LogEvent(base::Severity::kInfo, "AZ8005", "list version in force",
                   {{"list", std::string(ListNameText(list))},
                    {"version", std::to_string(version.version)},
                    {"author", version.author},
                    {"digest", version.digest}});
  }
}

void ListLedger::State::OnProposal(const LogPosition& position,
                                   const wire::LogEntry& entry) {
  base::Outcome<Proposal> proposal = wire::Decode<Proposal>(entry.payload);
  if (!base::Ok(proposal)) {
    base::LogEvent(
        base::Severity::kError, "AZ8006", "proposal is malformed",
        {{"entry", entry.id}, {"error", base::GetError(proposal).message}});
    return;
  }
  m_proposals.Add(base::Value(std::move(proposal)), position.time_ms);
}

void ListLedger::State::OnGap(uint64_t first) {
  if (first == 0 || (m_has_place && m_place.offset + 1 >= first)) {
    return;
  }
  m_complete = false;
  m_complete_from = first;
  m_held.clear();
  base::LogEvent(base::Severity::kWarning, "AZ8007",
                 "lists are incomplete until they are restated",
                 {{"first", std::to_string(first)}});
}

std::vector<RefreshEntry> ListLedger::State::Refresh(
    int64_t written_before_ms) const {
  std::vector<RefreshEntry> entries;
  if (m_complete && m_has_place && m_restated_ms < written_before_ms) {
    entries.push_back(
        {wire::EntryKind::kListRefresh, wire::Encode(SaveLists())});
  }
  for (const Proposal& proposal :
       m_proposals.WrittenBefore(written_before_ms)) {
    entries.push_back({wire::EntryKind::kProposal, wire::Encode(proposal)});
  }
  return entries;
}

ListsState ListLedger::State::SaveLists() const {
  ListsState lists = m_machine.Save();
  lists.offset = m_place.offset;
  lists.index = m_place.index;
  return lists;
}

LedgerState ListLedger::State::Save() const {
  LedgerState saved;
  saved.complete = m_complete;
  saved.has_place = m_has_place;
  saved.lists = SaveLists();
  saved.plans_history = m_machine.history(ListName::kPlans).versions();
  saved.allowances_history =
      m_machine.history(ListName::kAllowances).versions();
  saved.proposals = m_proposals.All();
  saved.restated_ms = m_restated_ms;
  return saved;
}

base::Outcome<base::Unit> ListLedger::State::Load(const LedgerState& saved) {
  if (!saved.complete) {
    return base::Error{base::ErrorCode::kUnavailable,
                       "the peer's lists are incomplete"};
  }
  const LogPosition place = PlaceOf(saved.lists);
  const bool is_ahead = !m_has_place || m_place < place;
  if (!saved.has_place || (m_complete && !is_ahead)) {
    return base::Unit{};
  }
  if (!m_complete && !ClosesGap(saved.lists)) {
    return base::Error{base::ErrorCode::kConflict,
                       "the peer's lists are older than the first record kept"};
  }
  const auto before = m_machine.current();
  base::Outcome<base::Unit> adopted = m_machine.Adopt(saved.lists);
  if (!base::Ok(adopted)) {
    return adopted;
  }
  m_machine.AddHistory(ListName::kPlans, saved.plans_history);
  m_machine.AddHistory(ListName::kAllowances, saved.allowances_history);
  for (const Proposal& proposal : saved.proposals) {
    m_proposals.Add(proposal, saved.restated_ms);
  }
  NoteChanges(*before);
  m_restated_ms = std::max(m_restated_ms, saved.restated_ms);
  m_complete = true;
  ReplayHeld(place);
  if (is_ahead) {
    m_place = place;
    m_has_place = true;
  }
  return base::Unit{};
}

ListLedger::ListLedger(const base::Clock& clock)
    : m_state(std::make_unique<State>(clock)) {}

ListLedger::~ListLedger() = default;

void ListLedger::OnEntry(const LogPosition& position,
                         const wire::LogEntry& entry) {
  std::lock_guard<std::mutex> lock(m_state->m_mutex);
  m_state->OnEntry(position, entry);
}

void ListLedger::OnGap(uint64_t /*from*/, uint64_t first) {
  std::lock_guard<std::mutex> lock(m_state->m_mutex);
  m_state->OnGap(first);
}

std::vector<RefreshEntry> ListLedger::Refresh(int64_t written_before_ms) {
  std::lock_guard<std::mutex> lock(m_state->m_mutex);
  return m_state->Refresh(written_before_ms);
}

std::string ListLedger::SaveState() const {
  std::lock_guard<std::mutex> lock(m_state->m_mutex);
  return wire::Encode(m_state->Save());
}

base::Outcome<base::Unit> ListLedger::LoadState(std::string_view bytes) {
  const base::Outcome<LedgerState> saved = wire::Decode<LedgerState>(bytes);
  if (!base::Ok(saved)) {
    return base::GetError(saved);
  }
  std::lock_guard<std::mutex> lock(m_state->m_mutex);
  return m_state->Load(base::Value(saved));
}

std::shared_ptr<const ListsSnapshot> ListLedger::Current() const {
  std::lock_guard<std::mutex> lock(m_state->m_mutex);
  return m_state->m_machine.current();
}

bool ListLedger::Complete() const {
  std::lock_guard<std::mutex> lock(m_state->m_mutex);
  return m_state->m_complete;
}

ListVersion ListLedger::Latest(ListName list) const {
  std::lock_guard<std::mutex> lock(m_state->m_mutex);
  return m_state->m_machine.history(list).Latest();
}

std::optional<ListVersion> ListLedger::Find(ListName list,
                                            uint64_t version) const {
  std::lock_guard<std::mutex> lock(m_state->m_mutex);
  return m_state->m_machine.history(list).Find(version);
}

int64_t ListLedger::InForceSince(ListName list) const {
  std::lock_guard<std::mutex> lock(m_state->m_mutex);
  const auto it = m_state->m_in_force_since.find(list);
  return it != m_state->m_in_force_since.end() ? it->second : 0;
}

std::optional<EditVerdict> ListLedger::Verdict(std::string_view edit_id) const {
  std::lock_guard<std::mutex> lock(m_state->m_mutex);
  const EditVerdict* verdict = m_state->m_machine.FindVerdict(edit_id);
  return verdict != nullptr ? std::optional(*verdict) : std::nullopt;
}

std::vector<Proposal> ListLedger::Proposals() const {
  std::lock_guard<std::mutex> lock(m_state->m_mutex);
  return m_state->m_proposals.All();
}

}  // namespace azurespur::control
