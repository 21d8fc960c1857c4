#include "ready_step.h"

#include <algorithm>

namespace azurespur::jobs {

void SortBySlots(std::vector<std::pair<const Worker*, int64_t>>& workers) {
  std::stable_sort(
      workers.begin(), workers.end(),
      [](const auto& a, const auto& b) { return a.second > b.second; });
}

}  // namespace azurespur::jobs
