// The two lists that operators edit.

#ifndef CONTROL_LIST_NAME_H_
#define CONTROL_LIST_NAME_H_

#include <cstdint>
#include <optional>
#include <string_view>

namespace azurespur::control {

// Stable numbers: they stand in log records.
enum class ListName : uint8_t { kPlans = 0, kAllowances = 1 };

inline constexpr ListName kAllLists[] = {ListName::kPlans,
                                         ListName::kAllowances};

// "plans" or "allowances".
std::string_view ListNameText(ListName list);

// Empty if `text` names no list.
std::optional<ListName> ParseListName(std::string_view text);

}  // namespace azurespur::control

#endif  // CONTROL_LIST_NAME_H_
