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
#include "fake_checks.h"

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

// Only one of the tasks fits on a worker.
void SubmitOneForEachWorker(FakeCell& cell, int64_t run_ms) {
  for (size_t i = 0; i < cell.workers.size(); ++i) {
    cell.Submit(*cell.vms[0], BatchSpec("t" + std::to_string(i), 3600, run_ms));
  }
}

void CheckEachRanOnce(const FakeCell& cell) {
  for (const auto& accepted : cell.accepted) {
    const std::string& id = accepted.first;
    CAPTURE(id);
    CHECK(CountRuns(cell, id) == 1);
  }
  CHECK(cell.accepted.size() == cell.workers.size());
  CHECK(CheckCell(cell).violations.empty());
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

// Guards against giving a task up, and running it twice, because its worker was
// off the VM list in a former life.
TEST_CASE("tasks bound to a worker that is listed again run once") {
  FakeCell cell({});
  cell.Run(kSettledMillis);
  cell.RemoveWorker("w0");
  cell.Run(3000);
  cell.ReturnWorker("w0");
  cell.Run(kSettledMillis);
  REQUIRE(cell.OwnedWorkers() == 4);
  SubmitOneForEachWorker(cell, 3000);
  cell.Run(20000);
  CheckEachRanOnce(cell);
}

// Guards against the same by a VM whose VM list is older than the worker's
// return.
TEST_CASE("a VM with an old list gives up no task of a returned worker") {
  FakeCell cell({});
  cell.Run(kSettledMillis);
  cell.RemoveWorker("w0");
  cell.Run(3000);
  cell.vms[1]->cut_from_list = true;
  cell.ReturnWorker("w0");
  cell.Run(kSettledMillis);
  REQUIRE(cell.vms[0]->service->OwnedWorkers() == 4);
  SubmitOneForEachWorker(cell, 50000);
  cell.Run(70000);
  CheckEachRanOnce(cell);
}

// Guards against taking a binding made in a former life of the worker for one
// that nobody has acted on, because the markers of both lives had one name.
TEST_CASE(
    "a task started in a former life of its worker is not started again") {
  FakeCellOptions options;
  options.workers = 1;
  options.entry_vms = 1;
  FakeCell cell(options);
  cell.Run(kSettledMillis);
  TaskSpec spec = BatchSpec("t1", 1000, 60000);
  spec.non_idempotent = true;
  cell.Submit(*cell.vms[0], spec);
  while (CountRuns(cell, "t1") == 0) {
    cell.Run(5);
  }
  cell.log_away = true;
  REQUIRE(FateOf(cell, "t1") == "bound");
  cell.vms[0]->paused_until_ms = cell.time.NowMillis() + 4000;
  cell.Run(3900);
  cell.RemoveWorker("w0");
  cell.Run(500);
  cell.ReturnWorker("w0");
  cell.Run(10000);
  REQUIRE(cell.OwnedWorkers() == 1);
  CHECK(CountRuns(cell, "t1") == 1);
}

// Guards against giving a task up because its worker is newer than the VM list
// of a VM that has lost the list service.
TEST_CASE("a VM with an old list gives up no task of a new worker") {
  FakeCell cell({});
  cell.RemoveWorker("w0");
  cell.Run(kSettledMillis);
  cell.vms[1]->cut_from_list = true;
  cell.ReturnWorker("w0");
  cell.Run(kSettledMillis);
  REQUIRE(cell.vms[0]->service->OwnedWorkers() == 4);
  SubmitOneForEachWorker(cell, 50000);
  cell.Run(70000);
  CheckEachRanOnce(cell);
}

// Guards against filling the room of a start that a former owner of the worker
// sent and that lands late.
TEST_CASE("a late start of a former owner finds its room on the worker") {
  FakeCellOptions options;
  options.workers = 1;
  options.entry_vms = 2;
  FakeCell cell(options);
  cell.Run(kSettledMillis);
  TaskSpec spec = BatchSpec("t1", 1000, 20000);
  spec.memory_mb = 2000;
  cell.vms[0]->late_start = "t1~1~0";
  cell.vms[0]->late_start_ms = 12000;
  cell.Submit(*cell.vms[0], spec);
  cell.Run(500);
  REQUIRE(FateOf(cell, "t1") == "bound");
  cell.vms[0]->Kill();
  cell.Run(60000);
  CHECK(FateOf(cell, "t1") == "finished");
  CHECK(CheckCell(cell).violations.empty());
}

// Guards against filling the room of a start that was meant for the worker's
// former boot and is carried out by the next one.
TEST_CASE("a late start for a former boot finds its room on the worker") {
  FakeCellOptions options;
  options.workers = 1;
  options.entry_vms = 1;
  FakeCell cell(options);
  cell.Run(kSettledMillis);
  TaskSpec spec = BatchSpec("t1", 1000, 20000);
  spec.memory_mb = 2000;
  cell.vms[0]->late_start = "t1~1~0";
  cell.vms[0]->late_start_ms = 12000;
  cell.Submit(*cell.vms[0], spec);
  cell.Run(500);
  REQUIRE(FateOf(cell, "t1") == "bound");
  cell.workers[0]->Restart();
  cell.Run(60000);
  CHECK(FateOf(cell, "t1") == "finished");
  CHECK(CheckCell(cell).violations.empty());
}

// Guards against the same for a start whose attempt was given up before the
// worker restarted.
TEST_CASE("room held for a late start stays held after a restart") {
  FakeCellOptions options;
  options.workers = 1;
  options.entry_vms = 1;
  FakeCell cell(options);
  cell.Run(kSettledMillis);
  TaskSpec spec = BatchSpec("t1", 1000, 20000);
  spec.memory_mb = 2000;
  cell.vms[0]->late_start = "t1~1~0";
  cell.vms[0]->late_start_ms = 13000;
  cell.Submit(*cell.vms[0], spec);
  cell.Run(1800);
  REQUIRE(FateOf(cell, "t1") == "accepted");
  cell.workers[0]->Restart();
  cell.Run(60000);
  CHECK(FateOf(cell, "t1") == "finished");
  CHECK(CheckCell(cell).violations.empty());
}

// Guards against renewing for ever a start that landed late, does no work and
// proves that its task has not run.
TEST_CASE("a late start at the next boot shows that the task has not run") {
  FakeCell cell({});
  cell.Run(kSettledMillis);
  TaskSpec spec = BatchSpec("t1", 1000, 500);
  spec.non_idempotent = true;
  cell.vms[0]->late_start = "t1~1~0";
  cell.vms[0]->late_start_ms = 12000;
  cell.Submit(*cell.vms[0], spec);
  cell.Run(500);
  REQUIRE(FateOf(cell, "t1") == "bound");
  for (const auto& worker : cell.workers) {
    worker->Restart();
  }
  cell.Run(9000);
  CHECK(FateOf(cell, "t1") == "may-have-run");
  cell.Run(40000);
  CHECK(FateOf(cell, "t1") == "finished");
  CHECK(CountRuns(cell, "t1") == 1);
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
