// Placement policies that the scheduler's own is compared with.

#ifndef BENCH_PLACEMENT_BASELINES_H_
#define BENCH_PLACEMENT_BASELINES_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

#include "cells.h"
#include "placement/cell.h"

namespace azurespur::bench {

// A cell with one way to choose workers. Workers are numbers.
struct Policy {
  std::string_view name;
  // Places and reserves all members, or none.
  std::function<std::optional<std::vector<int>>(const placement::TaskDemand&)>
      place;
  std::function<void(int worker, const placement::Resources&)> release;
  std::function<std::vector<placement::Resources>()> rooms;
};

Policy MakeBestFit(std::span<const placement::WorkerState> workers);

// The first worker with room.
Policy MakeFirstFit(std::span<const placement::WorkerState> workers);

// The less loaded of two random workers with room.
Policy MakeRandomOfTwo(std::span<const placement::WorkerState> workers,
                       uint64_t seed);

}  // namespace azurespur::bench

#endif  // BENCH_PLACEMENT_BASELINES_H_
