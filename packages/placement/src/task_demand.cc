#include "placement/task_demand.h"

#include <algorithm>

namespace azurespur::placement {

int64_t MemberCount(const TaskDemand& demand) {
  return std::max<int64_t>(demand.gang_size, 1);
}

Resources TotalSize(const TaskDemand& demand) {
  return Multiply(demand.size, MemberCount(demand));
}

}  // namespace azurespur::placement
