#include "refusal_reason.h"

#include <algorithm>
#include <array>
#include <string>
#include <string_view>
#include <vector>

namespace azurespur::placement {
namespace {

struct NamedAmount {
  std::string_view name;
  int64_t Resources::*amount;
};

constexpr std::array<NamedAmount, 3> kAmounts = {{
    {"cpu_millis", &Resources::cpu_millis},
    {"memory_mb", &Resources::memory_mb},
    {"accelerators", &Resources::accelerators},
}};

Refusal NotNow() {
  return {RefusalKind::kNotNow, "not enough live workers have room"};
}

// The worker with the largest capacity in one resource.
WorkerView LargestWorker(const Cell& cell, int64_t Resources::*amount) {
  WorkerView largest;
  cell.ForEachWorker([&](const WorkerView& worker) {
    if (largest.id.empty() ||
        worker.capacity.*amount > largest.capacity.*amount) {
      largest = worker;
    }
  });
  return largest;
}

Refusal ExplainMember(const Cell& cell, const TaskDemand& demand) {
  const std::string task = "task \"" + demand.id + "\" needs ";
  for (const NamedAmount& named : kAmounts) {
    const WorkerView largest = LargestWorker(cell, named.amount);
    const int64_t wanted = demand.size.*(named.amount);
    const int64_t offered = largest.capacity.*(named.amount);
    if (wanted > offered) {
      return {RefusalKind::kNever,
              task + std::string(named.name) + "=" + std::to_string(wanted) +
                  ", the largest worker \"" + std::string(largest.id) +
                  "\" has " + std::to_string(offered)};
    }
  }
  const WorkerView largest = LargestWorker(cell, &Resources::cpu_millis);
  return {RefusalKind::kNever, task + ToString(demand.size) +
                                   " on one worker; the largest worker \"" +
                                   std::string(largest.id) + "\" has " +
                                   ToString(largest.capacity)};
}

// Members that the cell holds when nothing else runs.
int64_t CountInEmptyCell(const Cell& cell, const TaskDemand& demand) {
  const int64_t wanted = MemberCount(demand);
  const int64_t per_rack = demand.rack_spread > 0 ? demand.rack_spread : wanted;
  std::vector<int64_t> members_by_rack(cell.RackCount());
  int64_t members = 0;
  cell.ForEachWorker([&](const WorkerView& worker) {
    int64_t& in_rack = members_by_rack[worker.rack_index];
    const int64_t fitting = CountFitting(demand.size, worker.capacity, wanted);
    const int64_t added = std::min(fitting, per_rack - in_rack);
    in_rack += added;
    members += added;
  });
  return members;
}

}  // namespace

Refusal ExplainRefusal(const Cell& cell, const TaskDemand& demand) {
  if (cell.WorkerCount() == 0) {
    return {RefusalKind::kNotNow, "the cell has no workers"};
  }
  const bool member_fits = cell.AnyWorker([&demand](const WorkerView& worker) {
    return Fits(demand.size, worker.capacity);
  });
  if (!member_fits) {
    return ExplainMember(cell, demand);
  }
  if (MemberCount(demand) == 1) {
    return NotNow();
  }
  const int64_t most = CountInEmptyCell(cell, demand);
  if (most >= MemberCount(demand)) {
    return NotNow();
  }
  return {RefusalKind::kNever,
          "gang \"" + demand.id +
              "\" needs gang_size=" + std::to_string(demand.gang_size) +
              " members of " + ToString(demand.size) +
              " with rack_spread=" + std::to_string(demand.rack_spread) +
              ", the empty cell holds " + std::to_string(most)};
}

}  // namespace azurespur::placement
