// The properties of an admitted request that dispatching depends on.

#ifndef FILTERS_WORK_ITEM_H_
#define FILTERS_WORK_ITEM_H_

#include <cstdint>
#include <string>

#include "base/clock.h"
#include "control/allowance.h"

namespace azurespur::filters {

struct WorkItem {
  uint64_t handle = 0;  // Identifies the request in this process.
  std::string plan;
  std::string allowance;
  control::RequestClass request_class = control::RequestClass::kInteractive;
  int64_t weight = 1;
  bool idempotent = true;
  base::MonoTime arrived{};
  base::MonoTime deadline{};
  // A request that starts later is likely to miss its deadline.
  base::MonoTime latest_start{};
};

}  // namespace azurespur::filters

#endif  // FILTERS_WORK_ITEM_H_
