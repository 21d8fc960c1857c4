#include "cells.h"

#include <algorithm>
#include <cmath>
#include <string>

namespace azurespur::bench {
namespace {

using placement::TaskClass;
using placement::TaskDemand;
using placement::WorkerState;

constexpr int kWorkersPerRack = 8;
constexpr placement::Resources kWorkerSize = {64'000, 262'144, 0};
constexpr int kPlans = 300;

double Uniform(Random& random) {
  return std::uniform_real_distribution<double>(0, 1)(random);
}

int64_t Pick(Random& random, std::initializer_list<int64_t> values) {
  const auto index =
      std::uniform_int_distribution<size_t>(0, values.size() - 1)(random);
  return values.begin()[index];
}

}  // namespace

std::vector<WorkerState> MakeWorkers(const CellShape& shape) {
  std::vector<WorkerState> workers;
  for (int i = 0; i < shape.workers; ++i) {
    WorkerState worker;
    worker.id = "w" + std::to_string(i);
    worker.rack = "r" + std::to_string(i / kWorkersPerRack);
    worker.capacity = kWorkerSize;
    const int before = i * shape.workers_with_accelerators / shape.workers;
    const int after = (i + 1) * shape.workers_with_accelerators / shape.workers;
    if (after > before) {
      worker.capacity.accelerators = shape.accelerators_each;
    }
    workers.push_back(worker);
  }
  return workers;
}

TaskDemand MakeDemand(Random& random, const CellShape& shape, int64_t number) {
  TaskDemand demand;
  demand.id = "t" + std::to_string(number);
  demand.plan = "plan" + std::to_string(random() % kPlans);
  demand.job = "job" + std::to_string(random() % 8);
  std::lognormal_distribution<double> cores(0.3, 0.9);
  const int64_t cpu = static_cast<int64_t>(cores(random) * 1000);
  demand.size.cpu_millis = std::clamp<int64_t>(cpu, 100, 32'000);
  const double gb_per_core = std::exp2(Uniform(random) * 4 - 0.45);
  demand.size.memory_mb = std::clamp<int64_t>(
      static_cast<int64_t>(static_cast<double>(demand.size.cpu_millis) *
                           gb_per_core * 1.024),
      128, 131'072);
  if (Uniform(random) < 0.024) {
    demand.size.accelerators = std::min<int64_t>(Pick(random, {1, 1, 2, 4, 8}),
                                                 shape.accelerators_each);
    demand.size.cpu_millis = 4000 * demand.size.accelerators;
    demand.size.memory_mb = 16'384 * demand.size.accelerators;
  }
  const double kind = Uniform(random);
  if (kind < 0.2) {
    demand.task_class = TaskClass::kService;
  } else if (kind < 0.23) {
    demand.task_class = TaskClass::kGang;
    demand.gang_size = Pick(random, {4, 8, 16});
    demand.rack_limit = Pick(random, {0, 4});
  }
  return demand;
}

std::vector<TaskDemand> MakeTrace(uint64_t seed,
                                  const CellShape& shape,
                                  int64_t count) {
  Random random(seed);
  std::vector<TaskDemand> trace;
  trace.reserve(static_cast<size_t>(count));
  for (int64_t i = 0; i < count; ++i) {
    trace.push_back(MakeDemand(random, shape, i));
  }
  return trace;
}

}  // namespace azurespur::bench
