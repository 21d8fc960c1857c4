// Parsing and checking of the two lists. docs/LISTS.md describes the schema.

#ifndef CONTROL_LIST_SCHEMA_H_
#define CONTROL_LIST_SCHEMA_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "control/allowance.h"
#include "control/list_error.h"
#include "control/list_name.h"
#include "control/lists_snapshot.h"
#include "control/plan.h"

namespace azurespur::control {

// Of a list's canonical JSON. Both lists fit into one log record.
inline constexpr size_t kMaxListBytes = 120000;
inline constexpr size_t kMaxListErrors = 100;

// The outcome of a check. The rows are set if there is no error; they are
// sorted by id and only those of the checked list are set.
struct CheckedList {
  std::vector<ListError> errors;
  // Whether every error is about the other list, so that the content may be
  // valid beside another version of it. `canonical` is then set.
  bool only_references = false;
  std::string canonical;
  std::vector<Plan> plans;
  std::vector<Allowance> allowances;
};

// Checks `content` as the next version of `list` while `current` is in force.
// The verdict depends on the arguments alone. Reports all errors, up to
// `kMaxListErrors`.
CheckedList CheckList(ListName list,
                      std::string_view content,
                      const ListsSnapshot& current);

// Hexadecimal digest of a list's canonical JSON.
std::string ListDigest(std::string_view canonical);

}  // namespace azurespur::control

#endif  // CONTROL_LIST_SCHEMA_H_
