// Difference between two versions of a list, row by row.

#ifndef CONTROL_LIST_DIFF_H_
#define CONTROL_LIST_DIFF_H_

#include <string>
#include <string_view>
#include <vector>

#include "control/list_name.h"

namespace azurespur::control {

// A field whose value differs. Values are compact JSON; empty if absent.
struct FieldChange {
  std::string field;
  std::string from;
  std::string to;
};

enum class RowChangeKind { kAdded, kRemoved, kChanged };

struct RowChange {
  RowChangeKind kind = RowChangeKind::kChanged;
  std::string id;
  std::vector<FieldChange> fields;
};

// "added", "removed" or "changed".
std::string_view RowChangeKindText(RowChangeKind kind);

// Both are canonical JSON or empty, which stands for an empty list. Sorted by
// row id, then field.
std::vector<RowChange> DiffLists(ListName list,
                                 std::string_view from,
                                 std::string_view to);

}  // namespace azurespur::control

#endif  // CONTROL_LIST_DIFF_H_
