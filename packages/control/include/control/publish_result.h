// Answers to an operator's edit of a list.

#ifndef CONTROL_PUBLISH_RESULT_H_
#define CONTROL_PUBLISH_RESULT_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "control/list_diff.h"
#include "control/list_error.h"
#include "control/list_version.h"

namespace azurespur::control {

// The edit is in the log and in force on this VM; it never reverts.
struct PublishAccepted {
  std::string edit_id;
  uint64_t version = 0;
};

// Another edit was first. Not accepted.
struct PublishConflict {
  ListVersion current;
  bool diff_known = false;      // Whether the edit's base is still kept here.
  std::vector<RowChange> diff;  // From the edit's base to `current`.
};

// Not accepted.
struct PublishInvalid {
  std::vector<ListError> errors;
};

// Not accepted and will not be, such as while the log is away.
struct PublishRefused {
  std::string reason;
};

// Sent to the log and not seen there in time: may still be accepted. Look the
// edit up by its id.
struct PublishUnknown {
  std::string edit_id;
  std::string reason;
};

using PublishResult = std::variant<PublishAccepted,
                                   PublishConflict,
                                   PublishInvalid,
                                   PublishRefused,
                                   PublishUnknown>;

}  // namespace azurespur::control

#endif  // CONTROL_PUBLISH_RESULT_H_
