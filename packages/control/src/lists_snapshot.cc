#include "control/lists_snapshot.h"

#include <algorithm>

namespace azurespur::control {

namespace {

template <typename Row>
const Row* FindById(const std::vector<Row>& rows, std::string_view id) {
  const auto it = std::lower_bound(
      rows.begin(), rows.end(), id,
      [](const Row& row, std::string_view wanted) { return row.id < wanted; });
  return it != rows.end() && it->id == id ? &*it : nullptr;
}

}  // namespace

const Plan* FindPlan(const ListsSnapshot& lists, std::string_view id) {
  return FindById(lists.plans, id);
}

const Allowance* FindAllowance(const ListsSnapshot& lists, const Plan& plan) {
  return FindById(lists.allowances, plan.allowance);
}

}  // namespace azurespur::control
