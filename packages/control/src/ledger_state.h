// What one daemon hands to another that starts: wire form of the ledger.

#ifndef CONTROL_LEDGER_STATE_H_
#define CONTROL_LEDGER_STATE_H_

#include <cstdint>
#include <vector>

#include "control/list_version.h"
#include "control/lists_state.h"
#include "control/proposal.h"

namespace azurespur::control {

struct LedgerState {
  bool complete = false;
  bool has_place = false;  // Whether any entry was applied.
  ListsState lists;
  std::vector<ListVersion> plans_history;  // Oldest first.
  std::vector<ListVersion> allowances_history;
  std::vector<Proposal> proposals;
  int64_t restated_ms = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(complete, has_place, lists, plans_history, allowances_history,
            proposals, restated_ms);
  }
};

}  // namespace azurespur::control

#endif  // CONTROL_LEDGER_STATE_H_
