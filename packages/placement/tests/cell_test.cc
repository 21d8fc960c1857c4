#include "placement/cell.h"

#include <doctest/doctest.h>

#include <algorithm>

namespace azurespur::placement {
namespace {

WorkerState MakeWorker(std::string id, std::string rack, Resources capacity) {
  return {std::move(id), std::move(rack), WorkerCondition::kLive, capacity, {}};
}

TaskDemand MakeDemand(Resources size, int64_t gang_size = 1) {
  TaskDemand demand;
  demand.id = "t1";
  demand.task_class = gang_size > 1 ? TaskClass::kGang : TaskClass::kBatch;
  demand.gang_size = gang_size;
  demand.size = size;
  return demand;
}

TEST_CASE("the worker left most balanced is chosen, on a tie the first added") {
  Cell cell;
  cell.UpdateWorker(MakeWorker("w1", "r1", {4000, 4000, 0}));
  cell.UpdateWorker(MakeWorker("w2", "r1", {4000, 4000, 0}));
  const TaskDemand demand = MakeDemand({1000, 500, 0});
  CHECK(std::get<Placement>(cell.PlaceOne(demand)).workers[0] == "w1");

  WorkerState worker = MakeWorker("w2", "r1", {4000, 4000, 0});
  worker.used = {1000, 1500, 0};
  cell.UpdateWorker(worker);
  CHECK(std::get<Placement>(cell.PlaceOne(demand)).workers[0] == "w2");

  for (const WorkerCondition condition :
       {WorkerCondition::kLeaving, WorkerCondition::kQuarantined,
        WorkerCondition::kUnowned}) {
    worker.condition = condition;
    cell.UpdateWorker(worker);
    CHECK(std::get<Placement>(cell.PlaceOne(demand)).workers[0] == "w1");
  }
}

TEST_CASE("tasks without accelerators avoid workers with free accelerators") {
  Cell cell;
  cell.UpdateWorker(MakeWorker("gpu", "r1", {4000, 4096, 4}));
  cell.UpdateWorker(MakeWorker("cpu", "r1", {64000, 65536, 0}));
  const Decision decision = cell.PlaceOne(MakeDemand({1000, 1024, 0}));
  CHECK(std::get<Placement>(decision).workers[0] == "cpu");
}

TEST_CASE("a demand larger than every worker is infeasible") {
  Cell cell;
  cell.UpdateWorker(MakeWorker("w1", "r1", {4000, 4096, 0}));
  const auto infeasible =
      std::get<Refusal>(cell.PlaceOne(MakeDemand({1000, 8192, 0})));
  CHECK(infeasible.kind == RefusalKind::kInfeasible);
  CHECK(infeasible.reason ==
        "task \"t1\" needs memory_mb=8192, the largest worker \"w1\" has 4096");

  REQUIRE(cell.Reserve(Placement{{"w1"}}, {4000, 4096, 0}));
  const auto later =
      std::get<Refusal>(cell.PlaceOne(MakeDemand({1000, 1024, 0})));
  CHECK(later.kind == RefusalKind::kInsufficientCapacity);
}

TEST_CASE("a gang is placed within its rack limit or refused as a whole") {
  Cell cell;
  for (const char* rack : {"r1", "r2"}) {
    for (int i = 0; i < 2; ++i) {
      cell.UpdateWorker(MakeWorker(rack + std::string("-") + std::to_string(i),
                                   rack, {4000, 4096, 0}));
    }
  }
  TaskDemand gang = MakeDemand({2000, 1024, 0}, 4);
  gang.rack_limit = 2;
  const auto placed = std::get<Placement>(cell.PlaceGang(gang));
  REQUIRE(placed.workers.size() == 4);
  CHECK(std::count_if(placed.workers.begin(), placed.workers.end(),
                      [](const auto& w) { return w.starts_with("r1"); }) == 2);

  gang.gang_size = 5;
  CHECK(std::get<Refusal>(cell.PlaceGang(gang)).kind ==
        RefusalKind::kInfeasible);

  REQUIRE(cell.Reserve(placed, gang.size));
  gang.gang_size = 4;
  gang.rack_limit = 0;
  REQUIRE(cell.Reserve(Placement{{"r1-1"}}, gang.size));
  CHECK(std::get<Refusal>(cell.PlaceGang(gang)).kind ==
        RefusalKind::kInsufficientCapacity);
}

TEST_CASE("a reservation that does not fit whole changes nothing") {
  Cell cell;
  cell.UpdateWorker(MakeWorker("w1", "r1", {4000, 4096, 0}));
  CHECK_FALSE(cell.Reserve(Placement{{"w1", "w1"}}, {3000, 1024, 0}));
  CHECK(cell.FindWorker("w1")->used == Resources{});
}

TEST_CASE("used resources cover bound, unreported and reported tasks") {
  const Resources capacity = {10000, 10000, 4};
  WorkerUsage usage;
  usage.bound = {4000, 4000, 1};
  usage.reported = {1000, 1000, 1};
  CHECK(UsedResources(usage, capacity) == Resources{4000, 4000, 1});

  SUBCASE("a task that outgrows its declared size counts in full") {
    usage.reported = {6000, 8000, 1};
    CHECK(UsedResources(usage, capacity) == Resources{6000, 8000, 1});
  }
  SUBCASE("the margin grows with the age of the report") {
    usage.reported = {6000, 8000, 1};
    usage.report_age_ms = 10000;
    CHECK(UsedResources(usage, capacity) == Resources{7200, 9600, 1});
    usage.report_age_ms = 1000000;
    CHECK(UsedResources(usage, capacity) == Resources{9000, 10000, 1});
  }
  SUBCASE("tasks that the report does not include are added") {
    usage.reported = {6000, 8000, 1};
    usage.unreported = {500, 500, 1};
    CHECK(UsedResources(usage, capacity) == Resources{6500, 8500, 2});
  }
}

}  // namespace
}  // namespace azurespur::placement
