// Cells and traces of demands for the placement measurements.

#ifndef BENCH_PLACEMENT_CELLS_H_
#define BENCH_PLACEMENT_CELLS_H_

#include <cstdint>
#include <random>
#include <string_view>
#include <vector>

#include "placement/task_demand.h"
#include "placement/worker_state.h"

namespace azurespur::bench {

struct CellShape {
  std::string_view name;
  int workers = 0;
  int workers_with_accelerators = 0;
  int accelerators_each = 0;
};

inline constexpr CellShape kSmallCell = {"48 workers", 48, 12, 4};
inline constexpr CellShape kLargeCell = {"6700 workers", 6700, 2000, 8};

// 64 cores and 256 GB a worker, 8 workers to a rack. Workers with accelerators
// are spread evenly over the racks.
std::vector<placement::WorkerState> MakeWorkers(const CellShape& shape);

using Random = std::mt19937_64;

// A demand of a mixed cell: a fifth services, some gangs, some work with
// accelerators, memory for each core from 1 to 16 GB.
placement::TaskDemand MakeDemand(Random& random,
                                 const CellShape& shape,
                                 int64_t number);

std::vector<placement::TaskDemand> MakeTrace(uint64_t seed,
                                             const CellShape& shape,
                                             int64_t count);

}  // namespace azurespur::bench

#endif  // BENCH_PLACEMENT_CELLS_H_
