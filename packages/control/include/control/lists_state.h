// State of both lists after one place of the stream "lists". It determines the
// verdict on every later edit. Payload of a kListRefresh entry.

#ifndef CONTROL_LISTS_STATE_H_
#define CONTROL_LISTS_STATE_H_

#include <cstdint>
#include <vector>

#include "control/edit_verdict.h"
#include "control/list_version.h"

namespace azurespur::control {

struct ListsState {
  // Place of the last entry that the state covers.
  uint64_t offset = 0;
  uint32_t index = 0;
  ListVersion plans;
  ListVersion allowances;
  std::vector<EditVerdict> recent;  // Oldest first; bounded.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(offset, index, plans, allowances, recent);
  }
};

}  // namespace azurespur::control

#endif  // CONTROL_LISTS_STATE_H_
