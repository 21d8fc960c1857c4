// Payload of a kListEdit entry: one operator's edit of one list.

#ifndef CONTROL_LIST_EDIT_H_
#define CONTROL_LIST_EDIT_H_

#include <cstdint>
#include <string>

#include "control/list_name.h"

namespace azurespur::control {

struct ListEdit {
  std::string edit_id;  // Unique; chosen by the publishing daemon.
  ListName list = ListName::kPlans;
  uint64_t base_version = 0;  // The version the edit was made from.
  std::string author;
  int64_t wall_ms = 0;  // The publishing daemon's clock; only shown.
  std::string content;  // JSON.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(edit_id, list, base_version, author, wall_ms, content);
  }
};

}  // namespace azurespur::control

#endif  // CONTROL_LIST_EDIT_H_
