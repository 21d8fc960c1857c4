// Measures the controllers of tasks in virtual time, against fakes of workers,
// log and peers. Usage: bench_tasks starts|takeover|slopes [SEED]

#include <unistd.h>
#include <algorithm>
#include <cstdint>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <string>
#include <vector>

#include "control/task_ledger.h"
#include "control/task_records.h"
#include "fake_cell.h"
#include "wire/codec.h"

namespace azurespur::control {
namespace {

constexpr int64_t kSettledMillis = 9000;
constexpr double kMillisPerSecond = 1000;
constexpr double kMicrosPerSecond = 1e6;

TaskSpec Spec(const std::string& id, int64_t run_ms) {
  TaskSpec spec;
  spec.id = id;
  spec.plan = "plan";
  spec.name = "job";
  spec.cpu_millis = 500;
  spec.memory_mb = 100;
  spec.payload = "run_ms=" + std::to_string(run_ms);
  return spec;
}

FakeCellOptions LargeCell(uint64_t seed, int workers) {
  FakeCellOptions options;
  options.seed = seed;
  options.entry_vms = 1;
  options.workers = workers;
  options.workers_per_rack = 8;
  options.worker_cpu_millis = 16000;
  options.worker_memory_mb = 64000;
  return options;
}

int64_t CounterOf(FakeVm& vm, const char* name) {
  return vm.metrics->GetCounter(name).Get();
}

// One VM places, binds, starts and ends 2,000 tasks a second over 50 appends a
// second.
void MeasureStarts(uint64_t seed) {
  constexpr int kWorkers = 560;
  constexpr int kPerSecond = 2000;
  constexpr int kSeconds = 10;
  constexpr int kStepMillis = 50;
  FakeCell cell(LargeCell(seed, kWorkers));
  cell.Run(kSettledMillis);
  FakeVm& vm = *cell.vms[0];
  const double busy_before = vm.busy_seconds;
  const size_t log_before = cell.log.size();
  int number = 0;
  for (int step = 0; step < kSeconds * kMillisPerSecond / kStepMillis; ++step) {
    for (int i = 0; i < kPerSecond * kStepMillis / kMillisPerSecond; ++i) {
      cell.Submit(vm, Spec("t" + std::to_string(number++), 300));
    }
    cell.Run(kStepMillis);
  }
  const double busy = vm.busy_seconds - busy_before;
  const size_t appends = cell.log.size() - log_before;
  size_t entries = 0;
  for (size_t i = log_before; i < cell.log.size(); ++i) {
    entries += cell.log[i].entries.size();
  }
  const int64_t starts = CounterOf(vm, "azurespur_task_starts_total");
  std::cout << "starts workers=" << kWorkers << " submitted=" << number
            << " virtual_s=" << kSeconds << " starts=" << starts
            << " starts_per_virtual_s=" << starts / kSeconds
            << " appends_per_virtual_s=" << appends / kSeconds
            << " entries_per_append="
            << static_cast<double>(entries) / static_cast<double>(appends)
            << " controller_cpu_s=" << busy
            << " starts_per_cpu_s=" << static_cast<double>(starts) / busy
            << "\n";
}

int64_t Takeover(uint64_t seed, bool pause, int64_t lag_ms) {
  FakeCellOptions options;
  options.seed = seed;
  options.report_lag_ms = lag_ms;
  FakeCell cell(options);
  cell.Run(kSettledMillis + cell.Pick(0, 3000));
  cell.log_away = true;
  const int64_t from_ms = cell.time.NowMillis();
  if (pause) {
    cell.vms[0]->paused_until_ms = from_ms + 60000;
  } else {
    cell.vms[0]->Kill();
  }
  while (cell.vms[1]->service->OwnedWorkers() < cell.workers.size()) {
    cell.Run(10);
  }
  return cell.time.NowMillis() - from_ms;
}

void MeasureTakeover(uint64_t seed) {
  constexpr int kRuns = 100;
  const WorkerFleetOptions fleet;
  const int64_t bound_ms =
      2 * fleet.ownership.lease.count() + 2 * fleet.report_interval.count();
  for (const bool pause : {false, true}) {
    for (const int64_t lag_ms : {100, 1000}) {
      std::vector<int64_t> times;
      times.reserve(kRuns);
      for (int run = 0; run < kRuns; ++run) {
        times.push_back(Takeover(seed + run, pause, lag_ms));
      }
      std::ranges::sort(times);
      std::cout << "takeover after=" << (pause ? "pause" : "kill")
                << " log=away report_lag_ms=" << lag_ms << " runs=" << kRuns
                << " p50_ms=" << times[kRuns / 2] << " max_ms=" << times.back()
                << " bound_ms=" << bound_ms << "\n";
    }
  }
}

int64_t ResidentBytes() {
  std::ifstream statm("/proc/self/statm");
  int64_t total = 0;
  int64_t resident = 0;
  statm >> total >> resident;
  return resident * sysconf(_SC_PAGESIZE);
}

// Memory of the task table for a task that runs.
void MeasureLedger() {
  constexpr int kTasks = 50000;
  TaskLedger ledger;
  const int64_t before = ResidentBytes();
  uint64_t offset = 0;
  for (int i = 0; i < kTasks; ++i) {
    const TaskSpec spec = Spec("t.e0.1." + std::to_string(i), 300);
    const auto entry = [&](wire::EntryKind kind, std::string payload) {
      ledger.OnEntry({offset++, 0, 1},
                     {"e", static_cast<uint16_t>(kind), std::move(payload)});
    };
    entry(wire::EntryKind::kTaskAccept, wire::Encode(TaskAccept{spec, "a", 0}));
    TaskBind bind{spec.id, 1, "a", {}, 500, 100, 0};
    bind.places = {{"w" + std::to_string(i % 6700), "owner~e0~1~1", "b", 1}};
    entry(wire::EntryKind::kTaskBind, wire::Encode(bind));
    entry(wire::EntryKind::kTaskStarted, wire::Encode(TaskStarted{spec.id, 1}));
    (void)ledger.TakeChanges();
  }
  std::cout << "slope state=ledger tasks=" << kTasks
            << " bytes_per_task=" << (ResidentBytes() - before) / kTasks
            << "\n";
}

// Processor time of an owner for workers and running tasks at rest.
void MeasureOwner(uint64_t seed, int workers, int tasks_per_worker) {
  constexpr int kSeconds = 20;
  constexpr int64_t kForeverMillis = 100'000'000;
  FakeCell cell(LargeCell(seed, workers));
  cell.Run(kSettledMillis);
  FakeVm& vm = *cell.vms[0];
  for (int i = 0; i < workers * tasks_per_worker; ++i) {
    cell.Submit(vm, Spec("t" + std::to_string(i), kForeverMillis));
  }
  cell.Run(kSettledMillis);
  const double before = vm.busy_seconds;
  cell.Run(kSeconds * static_cast<int64_t>(kMillisPerSecond));
  const double share = (vm.busy_seconds - before) / kSeconds;
  std::cout << "slope state=owner workers=" << workers
            << " running=" << vm.service->List("running", 1'000'000).size()
            << " core_percent=" << share * 100
            << " us_per_worker_s=" << share * kMicrosPerSecond / workers
            << "\n";
}

}  // namespace
}  // namespace azurespur::control

int main(int argc, char** argv) {
  using namespace azurespur::control;
  const std::string what = argc > 1 ? argv[1] : "";
  const uint64_t seed = argc > 2 ? std::strtoull(argv[2], nullptr, 10) : 1;
  std::cout << "seed=" << seed << "\n";
  if (what == "starts") {
    MeasureStarts(seed);
  } else if (what == "takeover") {
    MeasureTakeover(seed);
  } else if (what == "slopes") {
    MeasureLedger();
    MeasureOwner(seed, 50, 0);
    MeasureOwner(seed, 200, 0);
    MeasureOwner(seed, 200, 25);
  } else {
    std::cerr << "usage: bench_tasks starts|takeover|slopes [SEED]\n";
    return 2;
  }
  return 0;
}
