// State of the stream "lists": the two lists in force, their recent versions,
// the verdicts on recent edits, and the proposals that wait for approval.

#ifndef CONTROL_LIST_LEDGER_H_
#define CONTROL_LIST_LEDGER_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "control/edit_verdict.h"
#include "control/list_name.h"
#include "control/list_version.h"
#include "control/lists_view.h"
#include "control/log_observer.h"
#include "control/proposal.h"

namespace azurespur::base {
class Clock;
}

namespace azurespur::control {

// An edit is accepted if it names the version in force as its base and its
// content is valid beside the other list. The verdict depends on the entries
// before it alone. Versions in force only go up.
//
// A VM that has not read the stream from its start can't judge edits: it holds
// them until a kListRefresh entry gives the state after a place from which on
// it has read everything. Until then Complete() is false.
//
// Thread-safe.
class ListLedger : public LogObserver, public ListsView {
 public:
  // `clock` only dates the moment a version came into force on this VM.
  explicit ListLedger(const base::Clock& clock);
  ListLedger(const ListLedger&) = delete;
  ListLedger& operator=(const ListLedger&) = delete;
  ~ListLedger() override;

  void OnEntry(const LogPosition& position,
               const wire::LogEntry& entry) override;
  void OnGap(uint64_t from, uint64_t first) override;
  std::vector<RefreshEntry> Refresh(int64_t written_before_ms) override;
  std::string SaveState() const override;
  base::Outcome<base::Unit> LoadState(std::string_view bytes) override;

  std::shared_ptr<const ListsSnapshot> Current() const override;

  // Whether the lists in force are known to be those after the last entry.
  bool Complete() const;

  // Version 0 if none was accepted.
  ListVersion Latest(ListName list) const;

  // Empty if this VM never saw the version or keeps it no longer.
  std::optional<ListVersion> Find(ListName list, uint64_t version) const;

  // Wall clock of this VM when the list's version came into force here.
  int64_t InForceSince(ListName list) const;

  // Empty if the edit was not read, or long ago.
  std::optional<EditVerdict> Verdict(std::string_view edit_id) const;

  // Those not expired, sorted by id.
  std::vector<Proposal> Proposals() const;

 private:
  class State;

  std::unique_ptr<State> m_state;
};

}  // namespace azurespur::control

#endif  // CONTROL_LIST_LEDGER_H_
