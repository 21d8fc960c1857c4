#include "control/list_diff.h"

#include <map>
#include <nlohmann/json.hpp>
#include <set>

namespace azurespur::control {

namespace {

using nlohmann::json;

std::map<std::string, json> RowsById(ListName list, std::string_view content) {
  std::map<std::string, json> rows;
  if (content.empty()) {
    return rows;
  }
  const json document = json::parse(content, nullptr, false);
  for (const json& row : document[std::string(ListNameText(list))]) {
    rows.emplace(row["id"].get<std::string>(), row);
  }
  return rows;
}

std::string FieldText(const json& row, const std::string& field) {
  const auto it = row.find(field);
  return it != row.end() ? it->dump() : std::string();
}

RowChange CompareRows(const std::string& id, const json* from, const json* to) {
  static const json no_row = json::object();
  RowChange change;
  change.id = id;
  if (from == nullptr) {
    change.kind = RowChangeKind::kAdded;
    from = &no_row;
  } else if (to == nullptr) {
    change.kind = RowChangeKind::kRemoved;
    to = &no_row;
  }
  std::set<std::string> fields;
  for (const json* row : {from, to}) {
    for (const auto& [field, value] : row->items()) {
      fields.insert(field);
    }
  }
  for (const std::string& field : fields) {
    std::string old_text = FieldText(*from, field);
    std::string new_text = FieldText(*to, field);
    if (old_text != new_text) {
      change.fields.push_back(
          {field, std::move(old_text), std::move(new_text)});
    }
  }
  return change;
}

}  // namespace

std::string_view RowChangeKindText(RowChangeKind kind) {
  switch (kind) {
    case RowChangeKind::kAdded:
      return "added";
    case RowChangeKind::kRemoved:
      return "removed";
    case RowChangeKind::kChanged:
      return "changed";
  }
  return "changed";
}

std::vector<RowChange> DiffLists(ListName list,
                                 std::string_view from,
                                 std::string_view to) {
  const std::map<std::string, json> old_rows = RowsById(list, from);
  const std::map<std::string, json> new_rows = RowsById(list, to);
  std::set<std::string> ids;
  for (const auto* rows : {&old_rows, &new_rows}) {
    for (const auto& [id, row] : *rows) {
      ids.insert(id);
    }
  }
  std::vector<RowChange> changes;
  for (const std::string& id : ids) {
    const auto old_row = old_rows.find(id);
    const auto new_row = new_rows.find(id);
    RowChange change =
        CompareRows(id, old_row != old_rows.end() ? &old_row->second : nullptr,
                    new_row != new_rows.end() ? &new_row->second : nullptr);
    if (!change.fields.empty()) {
      changes.push_back(std::move(change));
    }
  }
  return changes;
}

}  // namespace azurespur::control
