#include "lists_machine.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "control/list_schema.h"

namespace azurespur::control {

namespace {

// More than any entry can be repeated after. Part of the verdict's rule.
constexpr size_t kRecentEdits = 256;
constexpr size_t kMaxAuthorBytes = 64;

void PutInForce(ListName list,
                const ListVersion& version,
                CheckedList checked,
                ListsSnapshot& snapshot) {
  if (list == ListName::kPlans) {
    snapshot.plans_version = version.version;
    snapshot.plans_digest = version.digest;
    snapshot.plans = std::move(checked.plans);
    return;
  }
  snapshot.allowances_version = version.version;
  snapshot.allowances_digest = version.digest;
  snapshot.allowances = std::move(checked.allowances);
}

// Restores one list from a saved version; version 0 stands for no list.
base::Outcome<base::Unit> Restore(ListName list,
                                  const ListVersion& version,
                                  ListsSnapshot& snapshot) {
  if (version.version == 0) {
    return base::Unit{};
  }
  const std::string name(ListNameText(list));
  if (ListDigest(version.content) != version.digest) {
    return base::Error{base::ErrorCode::kInvalid,
                       "list \"" + name + "\" version " +
                           std::to_string(version.version) +
                           ": content does not match digest " + version.digest};
  }
  CheckedList checked = CheckList(list, version.content, snapshot);
  if (!checked.errors.empty()) {
    const ListError& first = checked.errors.front();
    return base::Error{base::ErrorCode::kInvalid,
                       "list \"" + name + "\" version " +
                           std::to_string(version.version) + ": " + first.path +
                           ": " + first.text};
  }
  PutInForce(list, version, std::move(checked), snapshot);
  return base::Unit{};
}

}  // namespace

ListsMachine::ListsMachine()
    : m_current(std::make_shared<const ListsSnapshot>()) {}

void ListsMachine::Apply(const ListEdit& edit, uint64_t offset) {
  if (FindVerdict(edit.edit_id) == nullptr) {
    AddVerdict(Judge(edit, offset));
  }
}

EditVerdict ListsMachine::Judge(const ListEdit& edit, uint64_t offset) {
  ListHistory& history = MutableHistory(edit.list);
  const uint64_t in_force = history.Latest().version;
  EditVerdict verdict;
  verdict.edit_id = edit.edit_id;
  verdict.list = edit.list;
  verdict.version = in_force;
  if (edit.base_version != in_force) {
    verdict.outcome = EditOutcome::kConflict;
    return verdict;
  }
  CheckedList checked = CheckList(edit.list, edit.content, *m_current);
  if (!checked.errors.empty()) {
    verdict.outcome = EditOutcome::kInvalid;
    verdict.errors = std::move(checked.errors);
    return verdict;
  }
  ListVersion version;
  version.version = in_force + 1;
  version.content = checked.canonical;
  version.digest = ListDigest(version.content);
  version.author = edit.author.substr(0, kMaxAuthorBytes);
  version.edit_id = edit.edit_id;
  version.wall_ms = edit.wall_ms;
  version.offset = offset;
  auto snapshot = std::make_shared<ListsSnapshot>(*m_current);
  PutInForce(edit.list, version, std::move(checked), *snapshot);
  verdict.version = version.version;
  m_current = std::move(snapshot);
  history.Add(std::move(version));
  return verdict;
}

base::Outcome<base::Unit> ListsMachine::Adopt(const ListsState& state) {
  if (state.plans.version < m_plans.Latest().version ||
      state.allowances.version < m_allowances.Latest().version) {
    return base::Error{base::ErrorCode::kConflict,
                       "state is older than the lists in force"};
  }
  auto snapshot = std::make_shared<ListsSnapshot>();
  for (const auto& [list, version] :
       {std::pair{ListName::kAllowances, &state.allowances},
        std::pair{ListName::kPlans, &state.plans}}) {
    base::Outcome<base::Unit> restored = Restore(list, *version, *snapshot);
    if (!base::Ok(restored)) {
      return restored;
    }
  }
  m_current = std::move(snapshot);
  m_plans.Add(state.plans);
  m_allowances.Add(state.allowances);
  m_recent.assign(state.recent.begin(), state.recent.end());
  return base::Unit{};
}

ListsState ListsMachine::Save() const {
  ListsState state;
  state.plans = m_plans.Latest();
  state.allowances = m_allowances.Latest();
  state.recent.assign(m_recent.begin(), m_recent.end());
  return state;
}

void ListsMachine::AddHistory(ListName list,
                              const std::vector<ListVersion>& versions) {
  ListHistory merged;
  for (const ListVersion& version : versions) {
    if (version.version < history(list).Latest().version) {
      merged.Add(version);
    }
  }
  for (const ListVersion& version : history(list).versions()) {
    merged.Add(version);
  }
  MutableHistory(list) = std::move(merged);
}

const EditVerdict* ListsMachine::FindVerdict(std::string_view edit_id) const {
  const auto it = std::find_if(
      m_recent.begin(), m_recent.end(),
      [&](const EditVerdict& verdict) { return verdict.edit_id == edit_id; });
  return it != m_recent.end() ? &*it : nullptr;
}

void ListsMachine::AddVerdict(EditVerdict verdict) {
  if (m_recent.size() == kRecentEdits) {
    m_recent.pop_front();
  }
  m_recent.push_back(std::move(verdict));
}

}  // namespace azurespur::control
