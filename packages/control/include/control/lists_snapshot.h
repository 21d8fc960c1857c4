// The two lists of the operators, as in force on this VM.

#ifndef CONTROL_LISTS_SNAPSHOT_H_
#define CONTROL_LISTS_SNAPSHOT_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "control/allowance.h"
#include "control/plan.h"

namespace azurespur::control {

struct ListsSnapshot {
  uint64_t plans_version = 0;  // 0: none accepted yet.
  std::string plans_digest;
  std::vector<Plan> plans;  // Sorted by id.
  uint64_t allowances_version = 0;
  std::string allowances_digest;
  std::vector<Allowance> allowances;  // Sorted by id.
};

// Null if absent.
const Plan* FindPlan(const ListsSnapshot& lists, std::string_view id);

// The allowance that `plan` names; null if absent.
const Allowance* FindAllowance(const ListsSnapshot& lists, const Plan& plan);

}  // namespace azurespur::control

#endif  // CONTROL_LISTS_SNAPSHOT_H_
