#include "control/task_service.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <cstring>
#include <functional>
#include <memory>
#include <new>
#include <vector>

#include "control/task_run.h"
#include "fake_cell.h"

namespace azurespur::control {

namespace {

constexpr int64_t kSettledMillis = 8000;

TaskSpec BatchSpec(std::string id, int64_t cpu_millis, int64_t run_ms) {
  TaskSpec spec;
  spec.id = std::move(id);
  spec.plan = "plan";
  spec.name = "job";
  spec.cpu_millis = cpu_millis;
  spec.memory_mb = 10;
  spec.payload = "run_ms=" + std::to_string(run_ms);
  return spec;
}

int CountRuns(const FakeCell& cell, const std::string& task) {
  int runs = 0;
  for (const auto& worker : cell.workers) {
    for (const JournalRun& run : worker->journal()) {
      const bool counts =
          run.released_ms >= 0 && ParseRunId(run.id).task == task;
      runs += counts ? 1 : 0;
    }
  }
  return runs;
}

std::string FateOf(FakeCell& cell, const std::string& id) {
  return cell.FirstAlive()->service->Fate(id).fate;
}

// Virtual milliseconds until this VM owns all workers.
int64_t TimeToOwnAll(FakeCell& cell, FakeVm& vm) {
  const int64_t from_ms = cell.time.NowMillis();
  constexpr int64_t kLimitMillis = 60000;
  while (vm.service->OwnedWorkers() < cell.workers.size() &&
         cell.time.NowMillis() < from_ms + kLimitMillis) {
    cell.Run(10);
  }
  return cell.time.NowMillis() - from_ms;
}

int64_t TakeoverLimitMillis(const FakeCell& cell) {
  const WorkerFleetOptions& fleet = cell.options.service.fleet;
  return 2 * fleet.ownership.lease.count() + 2 * fleet.report_interval.count();
}

}  // namespace

TEST_CASE("an accepted task is bound, started, released and finished") {
  FakeCell cell({});
  cell.Run(kSettledMillis);
  REQUIRE(cell.OwnedWorkers() == 4);
  cell.Submit(*cell.vms[1], BatchSpec("t1", 1000, 500));
  cell.Run(3000);
  CHECK(cell.accepted.contains("t1"));
  const TaskFate fate = cell.vms[2]->service->Fate("t1");
  CHECK(fate.fate == "finished");
  CHECK(fate.result == "done");
}

TEST_CASE("a killed owner's workers are taken over in time, log away") {
  FakeCell cell({});
  cell.Run(kSettledMillis);
  cell.log_away = true;
  cell.vms[0]->Kill();
  CHECK(TimeToOwnAll(cell, *cell.vms[1]) <= TakeoverLimitMillis(cell));
}

TEST_CASE("a paused owner's workers are taken over in time, log away") {
  FakeCell cell({});
  cell.Run(kSettledMillis);
  cell.log_away = true;
  cell.vms[0]->paused_until_ms = cell.time.NowMillis() + 60000;
  CHECK(TimeToOwnAll(cell, *cell.vms[1]) <= TakeoverLimitMillis(cell));
}

TEST_CASE("tasks of two owners that die in turn are adopted running") {
  FakeCell cell({});
  cell.Run(kSettledMillis);
  cell.Submit(*cell.vms[0], BatchSpec("t1", 1000, 40000));
  cell.Run(1000);
  cell.vms[0]->Kill();
  cell.Run(6000);
  cell.vms[1]->Kill();
  cell.Run(45000);
  CHECK(FateOf(cell, "t1") == "finished");
  CHECK(CountRuns(cell, "t1") == 1);
}

TEST_CASE("a successor starts an untouched binding while the log is away") {
  FakeCell cell({});
  cell.Run(kSettledMillis);
  TaskSpec spec = BatchSpec("t1", 1000, 500);
  spec.non_idempotent = true;
  // The owner is cut off before its intent and start reach the worker.
  cell.vms[0]->cut_from_workers = true;
  cell.Submit(*cell.vms[0], spec);
  cell.Run(500);
  REQUIRE(FateOf(cell, "t1") == "bound");
  cell.vms[0]->Kill();
  cell.log_away = true;
  cell.Run(12000);
  CHECK(CountRuns(cell, "t1") == 1);
  cell.log_away = false;
  cell.Run(2000);
  CHECK(FateOf(cell, "t1") == "finished");
}

TEST_CASE("a touched non-idempotent task that left no trace may have run") {
  FakeCell cell({});
  cell.Run(kSettledMillis);
  TaskSpec spec = BatchSpec("t1", 1000, 30000);
  spec.non_idempotent = true;
  cell.Submit(*cell.vms[0], spec);
  cell.Run(1000);
  REQUIRE(CountRuns(cell, "t1") == 1);
  for (const auto& worker : cell.workers) {
    worker->Restart();
  }
  cell.Run(20000);
  CHECK(FateOf(cell, "t1") == "may-have-run");
  CHECK(CountRuns(cell, "t1") == 1);
}

TEST_CASE("a task that can never fit is refused at once with the reason") {
  FakeCell cell({});
  cell.Run(100);
  cell.Submit(*cell.vms[0], BatchSpec("t1", 5000, 500));
  CHECK(cell.refused["t1"].find("fit into no failure domain") !=
        std::string::npos);
}

TEST_CASE("a wave of cancellations stops running and waiting tasks") {
  FakeCell cell({});
  cell.Run(kSettledMillis);
  std::vector<std::string> ids;
  for (int i = 0; i < 40; ++i) {
    ids.push_back("t" + std::to_string(i));
    cell.Submit(*cell.vms[0], BatchSpec(ids.back(), 1000, 60000));
  }
  cell.Run(2000);
  cell.vms[1]->service->Cancel(ids, [](const auto&) {});
  cell.Run(4000);
  for (const std::string& id : ids) {
    CHECK(FateOf(cell, id) == "cancelled");
  }
}

TEST_CASE("a worker that fails every start is quarantined and work goes on") {
  FakeCell cell({});
  cell.workers[0]->SetFailing(true);
  cell.Run(kSettledMillis);
  for (int i = 0; i < 12; ++i) {
    TaskSpec spec = BatchSpec("t" + std::to_string(i), 1000, 300);
    spec.name = "job" + std::to_string(i);
    cell.Submit(*cell.vms[0], spec);
  }
  cell.Run(15000);
  for (int i = 0; i < 12; ++i) {
    CHECK(FateOf(cell, "t" + std::to_string(i)) == "finished");
  }
}

TEST_CASE("tasks leave a leaving worker, and it gets nothing new") {
  FakeCell cell({});
  cell.Run(kSettledMillis);
  cell.Submit(*cell.vms[0], BatchSpec("t1", 1000, 20000));
  cell.Run(2000);
  const TaskFate before = cell.vms[0]->service->Fate("t1");
  REQUIRE(before.workers.size() == 1);
  cell.leaving_workers.insert(before.workers.front());
  ++cell.list_version;
  cell.Run(4000);
  const TaskFate after = cell.vms[0]->service->Fate("t1");
  REQUIRE(after.workers.size() == 1);
  CHECK(after.workers.front() != before.workers.front());
}

TEST_CASE("the fate of a waiting task says what it waits for") {
  FakeCell cell({});
  cell.Run(kSettledMillis);
  for (int i = 0; i < 5; ++i) {
    cell.Submit(*cell.vms[0], BatchSpec("t" + std::to_string(i), 3600, 60000));
  }
  cell.Run(3000);
  int explained = 0;
  for (int i = 0; i < 5; ++i) {
    const TaskFate fate = cell.vms[0]->service->Fate("t" + std::to_string(i));
    explained += fate.fate == "accepted" && !fate.reason.empty();
  }
  CHECK(explained == 1);
}

TEST_CASE("a task submitted twice under one id runs once") {
  FakeCell cell({});
  cell.Run(kSettledMillis);
  const TaskSpec spec = BatchSpec("k.plan.x", 1000, 300);
  cell.Submit(*cell.vms[0], spec);
  cell.Submit(*cell.vms[1], spec);
  cell.Run(3000);
  TaskSpec other = spec;
  other.cpu_millis = 2000;
  cell.Submit(*cell.vms[2], other);
  cell.Run(1000);
  CHECK(cell.accepted.size() == 1);
  CHECK(CountRuns(cell, "k.plan.x") == 1);
  CHECK(cell.refused["k.plan.x"].find("already names another task") !=
        std::string::npos);
}

// Guards against heap damage at the end of the process: the HTTP client ends
// the calls in flight after the service that made them is destroyed.
TEST_CASE("answers of workers after the end of the service don't touch it") {
  FakeCellOptions options;
  options.entry_vms = 1;
  FakeCell cell(options);
  FakeVm& vm = *cell.vms[0];
  std::vector<std::function<void()>> answers;
  vm.kept_answers = &answers;
  cell.Run(kSettledMillis);
  TaskSpec spec = BatchSpec("t1", 1000, 500);
  spec.non_idempotent = true;
  cell.Submit(vm, spec);
  cell.Run(3000);
  REQUIRE(FateOf(cell, "t1") == "finished");
  REQUIRE(!answers.empty());

  vm.alive = false;
  TaskService* service = vm.service.release();
  std::destroy_at(service);
  // What is read from the service now is a null pointer.
  std::memset(static_cast<void*>(service), 0, sizeof(TaskService));
  for (const auto& answer : answers) {
    answer();
  }
  ::operator delete(service);
}

}  // namespace azurespur::control
