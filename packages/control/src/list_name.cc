#include "control/list_name.h"

namespace azurespur::control {

std::string_view ListNameText(ListName list) {
  return list == ListName::kPlans ? "plans" : "allowances";
}

std::optional<ListName> ParseListName(std::string_view text) {
  for (ListName list : kAllLists) {
    if (text == ListNameText(list)) {
      return list;
    }
  }
  return std::nullopt;
}

}  // namespace azurespur::control
