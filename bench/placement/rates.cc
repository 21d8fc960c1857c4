#include "rates.h"

#include <malloc.h>

#include <algorithm>
#include <cstdio>
#include <string>
#include <utility>
#include <vector>

#include "cells.h"
#include "placement/scheduler.h"
#include "placement/timed_reservation.h"
#include "timing.h"

namespace azurespur::bench {
namespace {

using placement::PassLimits;
using placement::PassResult;
using placement::Scheduler;
using placement::TaskDemand;

constexpr int64_t kRunningTasks = 190'000;
constexpr int64_t kPasses = 2'000;
constexpr int64_t kPassMillis = 10;
// 2,000 starts a second.
constexpr int64_t kStartsPerPass = 20;
constexpr double kTargetStartsPerSecond = 2000;
constexpr double kTargetDecisionMicros = 1000;
constexpr PassLimits kNoLimits = {1'000'000, 1'000'000};

double HeapBytes() {
  return static_cast<double>(mallinfo2().uordblks);
}

// A task of which the large cell holds 190,000.
TaskDemand MakeTask(Random& random, int64_t number, int64_t now_ms) {
  TaskDemand demand = MakeDemand(random, kLargeCell, number);
  demand.size.cpu_millis = std::min<int64_t>(demand.size.cpu_millis, 4000);
  demand.size.memory_mb = std::min<int64_t>(demand.size.memory_mb, 16 * 1024);
  demand.submitted_ms = now_ms;
  return demand;
}

struct LoadedCell {
  Scheduler scheduler;
  std::vector<std::string> running;
  int64_t next = 0;
};

void Submit(LoadedCell& cell, Random& random, int64_t now_ms) {
  cell.scheduler.Submit(MakeTask(random, cell.next++, now_ms));
}

void NoteStarts(LoadedCell& cell, const PassResult& result) {
  for (const placement::StartDecision& start : result.starts) {
    cell.running.push_back(start.demand.id);
  }
}

// Starts work until the cell runs 190,000 tasks or takes no more.
void Load(LoadedCell& cell, Random& random) {
  while (static_cast<int64_t>(cell.running.size()) < kRunningTasks) {
    const size_t before = cell.running.size();
    for (int i = 0; i < 5000; ++i) {
      Submit(cell, random, 0);
    }
    NoteStarts(cell, cell.scheduler.Pass(0, kNoLimits));
    if (cell.running.size() == before) {
      break;
    }
  }
}

void EndRandom(LoadedCell& cell, Random& random) {
  std::swap(cell.running[random() % cell.running.size()], cell.running.back());
  cell.scheduler.EndTask(cell.running.back());
  cell.running.pop_back();
}

void MeasureReservation(const LoadedCell& cell) {
  TaskDemand gang;
  gang.gang_size = 64;
  gang.size = {32'000, 64 * 1024, 0};
  std::vector<double> micros;
  for (int i = 0; i < 20; ++i) {
    const WallTime start = std::chrono::steady_clock::now();
    PlanReservation(cell.scheduler.cell(), cell.scheduler.running(), gang, 0);
    micros.push_back(MicrosSince(start));
  }
  std::printf("reservation in time for a gang of 64: p50 %.0f us\n",
              Quantile(micros, 0.5));
}

void MeasurePasses(LoadedCell& cell, Random& random) {
  std::vector<double> pass_micros;
  std::vector<double> start_micros;
  double total_micros = 0;
  int64_t starts = 0;
  for (int64_t pass = 1; pass <= kPasses; ++pass) {
    const int64_t now_ms = pass * kPassMillis;
    for (int64_t i = 0; i < kStartsPerPass; ++i) {
      EndRandom(cell, random);
      Submit(cell, random, now_ms);
    }
    const WallTime start = std::chrono::steady_clock::now();
    const PassResult result = cell.scheduler.Pass(now_ms, {});
    const double micros = MicrosSince(start);
    NoteStarts(cell, result);
    total_micros += micros;
    starts += static_cast<int64_t>(result.starts.size());
    pass_micros.push_back(micros);
    if (!result.starts.empty()) {
      start_micros.push_back(micros /
                             static_cast<double>(result.starts.size()));
    }
  }
  const double rate = static_cast<double>(starts) / total_micros * 1e6;
  const double p99 = Quantile(start_micros, 0.99);
  std::printf("passes of up to %lld new tasks: p50 %.0f p99 %.0f us\n",
              static_cast<long long>(kStartsPerPass),
              Quantile(pass_micros, 0.5), Quantile(pass_micros, 0.99));
  std::printf("starts decided: %.0f a second; us a start: p50 %.1f p99 %.1f\n",
              rate, Quantile(start_micros, 0.5), p99);
  PrintTarget("2000 starts a second", rate >= kTargetStartsPerSecond);
  PrintTarget("p99 decision of a start at most 1 ms",
              p99 <= kTargetDecisionMicros);
}

}  // namespace

void MeasureRates(uint64_t seed) {
  std::printf("== rates, 6700 workers, seed %llu\n",
              static_cast<unsigned long long>(seed));
  Random random(seed);
  LoadedCell cell;
  const double empty_bytes = HeapBytes();
  for (const placement::WorkerState& worker : MakeWorkers(kLargeCell)) {
    cell.scheduler.cell().UpdateWorker(worker);
  }
  const double worker_bytes = HeapBytes();
  std::printf("memory a worker: %.0f bytes\n",
              (worker_bytes - empty_bytes) / kLargeCell.workers);
  cell.scheduler.SetAllWorkersKnown(true);
  Load(cell, random);
  const auto waiting = static_cast<double>(cell.scheduler.queue().size());
  std::printf("running tasks %zu, waiting %.0f\n", cell.running.size(),
              waiting);
  std::printf(
      "memory a running task: %.0f bytes (with its share of %.0f "
      "waiting ones)\n",
      (HeapBytes() - worker_bytes) / static_cast<double>(cell.running.size()),
      waiting);
  MeasurePasses(cell, random);
  MeasureReservation(cell);
}

}  // namespace azurespur::bench
