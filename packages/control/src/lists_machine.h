// The pure state machine behind the two lists: edits in, verdicts out.

#ifndef CONTROL_LISTS_MACHINE_H_
#define CONTROL_LISTS_MACHINE_H_

#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string_view>

#include "base/outcome.h"
#include "control/edit_verdict.h"
#include "control/list_edit.h"
#include "control/list_name.h"
#include "control/lists_snapshot.h"
#include "control/lists_state.h"
#include "list_history.h"

namespace azurespur::control {

class ListsMachine {
 public:
  ListsMachine();

  // A repeat of a recent edit has no effect.
  void Apply(const ListEdit& edit, uint64_t offset);

  // Takes over `state` if no list in it is older than the one in force.
  // Errors: kConflict if one is older, kInvalid if `state` is corrupt.
  base::Outcome<base::Unit> Adopt(const ListsState& state);

  // Without the place, which the caller knows.
  ListsState Save() const;

  const std::shared_ptr<const ListsSnapshot>& current() const {
    return m_current;
  }
  const ListHistory& history(ListName list) const {
    return list == ListName::kPlans ? m_plans : m_allowances;
  }
  // Adds older versions for display; those already known stay.
  void AddHistory(ListName list, const std::vector<ListVersion>& versions);

  const EditVerdict* FindVerdict(std::string_view edit_id) const;

 private:
  ListHistory& MutableHistory(ListName list) {
    return list == ListName::kPlans ? m_plans : m_allowances;
  }
  EditVerdict Judge(const ListEdit& edit, uint64_t offset);
  void AddVerdict(EditVerdict verdict);

  ListHistory m_plans;
  ListHistory m_allowances;
  std::deque<EditVerdict> m_recent;
  std::shared_ptr<const ListsSnapshot> m_current;
};

}  // namespace azurespur::control

#endif  // CONTROL_LISTS_MACHINE_H_
