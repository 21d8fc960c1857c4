#include "packing.h"

#include <cstdio>
#include <vector>

#include "baselines.h"
#include "timing.h"

namespace azurespur::bench {
namespace {

using placement::Resources;
using placement::TaskDemand;

// Work with an accelerator that is counted as stranding one where it does not
// fit beside it.
constexpr Resources kAcceleratorTask = {4000, 16'384, 1};

// Three quarters of a worker, and the share of processors in use at which the
// room for such tasks is counted.
constexpr Resources kLargeTask = {48'000, 196'608, 0};
constexpr double kLargeTaskLoad = 0.6;

// Demands that are tried for each worker, so that the cell overflows.
constexpr int64_t kDemandsPerWorker = 40;

struct Started {
  std::vector<int> workers;
  Resources size;
};

struct PackingResult {
  Resources used_at_first_refusal;
  Resources used;
  int64_t started = 0;
  int64_t gangs = 0;
  int64_t stranded_accelerators = 0;
  int64_t large_tasks_fitting = 0;
  Resources mean_used;  // While work ends and new work takes its place.
  int64_t churn_gangs = 0;
  std::vector<double> micros;
};

Resources SumOf(const std::vector<Resources>& rooms) {
  Resources sum;
  for (const Resources& room : rooms) {
    sum = Add(sum, room);
  }
  return sum;
}

int64_t CountLarge(const std::vector<Resources>& rooms) {
  int64_t count = 0;
  for (const Resources& room : rooms) {
    count += CountFitting(kLargeTask, room, 1);
  }
  return count;
}

int64_t CountStranded(const std::vector<Resources>& rooms) {
  int64_t stranded = 0;
  for (const Resources& room : rooms) {
    stranded += room.accelerators -
                CountFitting(kAcceleratorTask, room, room.accelerators);
  }
  return stranded;
}

bool TryPlace(Policy& policy,
              const TaskDemand& demand,
              std::vector<Started>& running,
              PackingResult& result) {
  const WallTime start = std::chrono::steady_clock::now();
  auto placed = policy.place(demand);
  result.micros.push_back(MicrosSince(start));
  if (!placed) {
    return false;
  }
  running.push_back({std::move(*placed), demand.size});
  return true;
}

// Ends random tasks one by one; after each the next of the trace is tried.
void Churn(Policy& policy,
           const std::vector<TaskDemand>& trace,
           const Resources& capacity,
           uint64_t seed,
           std::vector<Started>& running,
           PackingResult& result) {
  Random random(seed);
  constexpr int64_t kSamples = 50;
  const int64_t interval = static_cast<int64_t>(trace.size()) / 4 / kSamples;
  const int64_t steps = interval * kSamples;
  size_t next = 0;
  Resources sum;
  for (int64_t step = 0; step < steps && !running.empty(); ++step) {
    std::swap(running[random() % running.size()], running.back());
    for (const int worker : running.back().workers) {
      policy.release(worker, running.back().size);
    }
    running.pop_back();
    for (int tries = 0; tries < 3; ++tries) {
      const TaskDemand& demand = trace[next++ % trace.size()];
      if (TryPlace(policy, demand, running, result)) {
        result.churn_gangs += MemberCount(demand) > 1 ? 1 : 0;
      }
    }
    if (step % interval == 0) {
      sum = Add(sum, Subtract(capacity, SumOf(policy.rooms())));
    }
  }
  result.mean_used = {sum.cpu_millis / kSamples, sum.memory_mb / kSamples,
                      sum.accelerators / kSamples};
}

PackingResult Fill(Policy& policy,
                   const std::vector<TaskDemand>& trace,
                   const Resources& capacity,
                   uint64_t seed) {
  PackingResult result;
  std::vector<Started> running;
  bool refused = false;
  int64_t cpu_left = static_cast<int64_t>(
      kLargeTaskLoad * static_cast<double>(capacity.cpu_millis));
  for (const TaskDemand& demand : trace) {
    if (TryPlace(policy, demand, running, result)) {
      ++result.started;
      const bool was_below = cpu_left > 0;
      cpu_left -= TotalSize(demand).cpu_millis;
      if (was_below && cpu_left <= 0) {
        result.large_tasks_fitting = CountLarge(policy.rooms());
      }
      result.gangs += MemberCount(demand) > 1 ? 1 : 0;
    } else if (!refused) {
      refused = true;
      result.used_at_first_refusal = Subtract(capacity, SumOf(policy.rooms()));
    }
  }
  result.used = Subtract(capacity, SumOf(policy.rooms()));
  result.stranded_accelerators = CountStranded(policy.rooms());
  Churn(policy, trace, capacity, seed, running, result);
  return result;
}

double Percent(int64_t part, int64_t whole) {
  return 100.0 * static_cast<double>(part) / static_cast<double>(whole);
}

void PrintShares(const char* label,
                 const Resources& used,
                 const Resources& capacity) {
  std::printf("  %-22s cpu %5.1f%%  memory %5.1f%%  accelerators %5.1f%%\n",
              label, Percent(used.cpu_millis, capacity.cpu_millis),
              Percent(used.memory_mb, capacity.memory_mb),
              Percent(used.accelerators, capacity.accelerators));
}

void Print(const Policy& policy,
           PackingResult& result,
           const Resources& capacity) {
  std::printf(
      "%.*s: started %lld, gangs %lld, stranded accelerators %lld, "
      "room for large tasks at 60%% load %lld\n",
      static_cast<int>(policy.name.size()), policy.name.data(),
      static_cast<long long>(result.started),
      static_cast<long long>(result.gangs),
      static_cast<long long>(result.stranded_accelerators),
      static_cast<long long>(result.large_tasks_fitting));
  PrintShares("at first refusal", result.used_at_first_refusal, capacity);
  PrintShares("after the trace", result.used, capacity);
  PrintShares("mean under churn", result.mean_used, capacity);
  std::printf("  gangs started under churn %lld\n",
              static_cast<long long>(result.churn_gangs));
  std::printf("  decision us: p50 %.1f p99 %.1f p99.9 %.1f\n",
              Quantile(result.micros, 0.5), Quantile(result.micros, 0.99),
              Quantile(result.micros, 0.999));
}

}  // namespace

void MeasurePacking(const CellShape& shape, uint64_t seed) {
  const std::vector<placement::WorkerState> workers = MakeWorkers(shape);
  const std::vector<TaskDemand> trace =
      MakeTrace(seed, shape, kDemandsPerWorker * shape.workers);
  Resources capacity;
  for (const placement::WorkerState& worker : workers) {
    capacity = Add(capacity, worker.capacity);
  }
  std::printf("== packing, %.*s, seed %llu, %zu demands\n",
              static_cast<int>(shape.name.size()), shape.name.data(),
              static_cast<unsigned long long>(seed), trace.size());
  Policy best = MakeBestFit(workers);
  Policy first = MakeFirstFit(workers);
  Policy random = MakeRandomOfTwo(workers, seed);
  for (Policy* policy : {&best, &first, &random}) {
    PackingResult result = Fill(*policy, trace, capacity, seed);
    Print(*policy, result, capacity);
    if (policy == &best) {
      PrintTarget("p99 decision at most 1 ms",
                  Quantile(result.micros, 0.99) <= 1000);
    }
  }
}

}  // namespace azurespur::bench
