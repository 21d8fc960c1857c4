// What became of one edit of a list.

#ifndef CONTROL_EDIT_VERDICT_H_
#define CONTROL_EDIT_VERDICT_H_

#include <cstdint>
#include <string>
#include <vector>

#include "control/list_error.h"
#include "control/list_name.h"

namespace azurespur::control {

enum class EditOutcome : uint8_t {
  kAccepted = 0,
  kConflict = 1,  // `base_version` was not the version in force.
  kInvalid = 2,   // The content is wrong beside the other list in force.
};

struct EditVerdict {
  std::string edit_id;
  ListName list = ListName::kPlans;
  EditOutcome outcome = EditOutcome::kAccepted;
  uint64_t version = 0;           // In force after the edit.
  std::vector<ListError> errors;  // Only on VMs that read the edit itself.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(edit_id, list, outcome, version);
  }
};

}  // namespace azurespur::control

#endif  // CONTROL_EDIT_VERDICT_H_
