// The versions of the policy that a VM has and has heard of.

#ifndef CELL_SRC_POLICY_VERSIONS_H_
#define CELL_SRC_POLICY_VERSIONS_H_

#include <cstdint>

#include "base/clock.h"

namespace azurespur::cell {

struct PolicyVersions {
  int64_t known = 0;  // Of the policy that this VM applies; 0: none.
  base::MonoTime known_since{};
  int64_t named = 0;  // The newest that another VM has named.
  base::MonoTime named_at{};
  // The notice of a leader that can append has named a version.
  bool leader_named = false;
};

}  // namespace azurespur::cell

#endif  // CELL_SRC_POLICY_VERSIONS_H_
