#include "refusal_reason.h"

#include <algorithm>
#include <array>
#include <string>
#include <string_view>
#include <vector>

namespace azurespur::placement {
namespace {

struct ResourceField {
  std::string_view name;
  int64_t Resources::*amount;
};

constexpr std::array<ResourceField, 3> kResourceFields = {{
    {"cpu_millis", &Resources::cpu_millis},
    {"memory_mb", &Resources::memory_mb},
    {"accelerators", &Resources::accelerators},
}};

Refusal InsufficientCapacity() {
  return {RefusalKind::kInsufficientCapacity,
          "not enough live workers have room"};
}

// Returns the worker with the largest capacity of one resource.
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

Refusal ExplainOversizedMember(const Cell& cell, const TaskDemand& demand) {
  const std::string task = "task \"" + demand.id + "\" needs ";
  for (const ResourceField& field : kResourceFields) {
    const WorkerView largest = LargestWorker(cell, field.amount);
    const int64_t wanted = demand.size.*(field.amount);
    const int64_t offered = largest.capacity.*(field.amount);
    if (wanted > offered) {
      return {RefusalKind::kInfeasible,
              task + std::string(field.name) + "=" + std::to_string(wanted) +
                  ", the largest worker \"" + std::string(largest.id) +
                  "\" has " + std::to_string(offered)};
    }
  }
  const WorkerView largest = LargestWorker(cell, &Resources::cpu_millis);
  return {RefusalKind::kInfeasible,
          task + ToString(demand.size) +
              " on one worker; the largest worker \"" +
              std::string(largest.id) + "\" has " + ToString(largest.capacity)};
}

// Number of members that would fit if no other task were running.
int64_t CountMembersInEmptyCell(const Cell& cell, const TaskDemand& demand) {
  const int64_t wanted = MemberCount(demand);
  const int64_t per_rack = demand.rack_limit > 0 ? demand.rack_limit : wanted;
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
    return {RefusalKind::kInsufficientCapacity, "the cell has no workers"};
  }
  const bool member_fits = cell.AnyWorker([&demand](const WorkerView& worker) {
    return Fits(demand.size, worker.capacity);
  });
  if (!member_fits) {
    return ExplainOversizedMember(cell, demand);
  }
  if (MemberCount(demand) == 1) {
    return InsufficientCapacity();
  }
  const int64_t max_members = CountMembersInEmptyCell(cell, demand);
  if (max_members >= MemberCount(demand)) {
    return InsufficientCapacity();
  }
  return {RefusalKind::kInfeasible,
          "gang \"" + demand.id +
              "\" needs gang_size=" + std::to_string(demand.gang_size) +
              " members of " + ToString(demand.size) +
              " with rack_spread=" + std::to_string(demand.rack_limit) +
              ", the empty cell holds " + std::to_string(max_members)};
}

}  // namespace azurespur::placement
