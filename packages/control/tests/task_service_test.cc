#include "control/task_service.h"

#include <doctest/doctest.h>

#include "fake_cell.h"

namespace azurespur::control {

namespace {

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

}  // namespace

TEST_CASE("an accepted task is bound, started, released and finished") {
  FakeCell cell({});
  cell.Run(8000);
  REQUIRE(cell.OwnedWorkers() == 4);
  cell.Submit(*cell.vms[1], BatchSpec("t1", 1000, 500));
  cell.Run(3000);
  CHECK(cell.accepted.contains("t1"));
  const TaskFate fate = cell.vms[2]->service->Fate("t1");
  CHECK(fate.fate == "finished");
  CHECK(fate.result == "done");
}

}  // namespace azurespur::control
