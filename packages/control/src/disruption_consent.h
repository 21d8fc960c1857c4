// Whether the operators' lists let the scheduler disrupt a running task.

#ifndef CONTROL_SRC_DISRUPTION_CONSENT_H_
#define CONTROL_SRC_DISRUPTION_CONSENT_H_

#include <string_view>

#include "control/lists_snapshot.h"

namespace azurespur::control {

enum class Consent {
  kGiven,
  kRefused,
  kAwaitsApproval,  // An edit of the plan's allowance has to approve it.
};

// `proposal` is the id by which an allowance approves the action.
Consent FindConsent(const ListsSnapshot& lists,
                    std::string_view plan,
                    std::string_view action,
                    std::string_view proposal);

}  // namespace azurespur::control

#endif  // CONTROL_SRC_DISRUPTION_CONSENT_H_
