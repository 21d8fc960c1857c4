#include "disruption_consent.h"

#include <algorithm>

namespace azurespur::control {

Consent FindConsent(const ListsSnapshot& lists,
                    std::string_view plan,
                    std::string_view action,
                    std::string_view proposal) {
  const Plan* row = FindPlan(lists, plan);
  const Allowance* allowance =
      row == nullptr ? nullptr : FindAllowance(lists, *row);
  if (allowance == nullptr) {
    // Before the first edit there is nobody to ask. A plan that was removed may
    // have asked for approvals, and no allowance is left to give one.
    return lists.plans_version == 0 ? Consent::kGiven : Consent::kRefused;
  }
  if (action == "evict" && !allowance->preempt) {
    return Consent::kRefused;
  }
  const bool approved = std::ranges::find(allowance->approved, proposal) !=
                        allowance->approved.end();
  return allowance->actions == ActionMode::kAutomatic || approved
             ? Consent::kGiven
             : Consent::kAwaitsApproval;
}

}  // namespace azurespur::control
