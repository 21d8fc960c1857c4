#include <doctest/doctest.h>

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "standins/worker.h"

namespace azurespur::standins {

namespace {

struct WorkerFixture {
  Worker worker{"w", 1000, [this](const TaskEvent& event) {
                  events.push_back(std::to_string(event.time_ms) + " " +
                                   std::string(event.event) + " " +
                                   std::string(event.reason));
                }};
  std::vector<std::string> events;

  nlohmann::json Task(int64_t now_ms, int64_t lag_ms = 0) {
    const auto report = nlohmann::json::parse(worker.Report(lag_ms, now_ms));
    return report["tasks"].empty() ? nlohmann::json() : report["tasks"][0];
  }
};

TaskSpec Spec(bool throttled, const std::string& payload = "") {
  return {.id = "t",
          .cpu_millis = 1000,
          .memory_mb = 10,
          .accelerators = 1,
          .lease_ms = 100,
          .throttled = throttled,
          .payload = payload};
}

}  // namespace

TEST_CASE("a lapsed lease stops the task at its very end") {
  WorkerFixture fixture;
  fixture.worker.Start(Spec(false), 0);
  CHECK(fixture.worker.Renew({"t", "u"}, 100, 50) ==
        std::vector<std::string>{"u"});
  CHECK(fixture.Task(149)["state"] == "running");
  CHECK(fixture.Task(200)["state"] == "lapsed");
  CHECK(fixture.events.back() == "150 end lapsed");
}

TEST_CASE("a throttled task holds its memory and does no work") {
  WorkerFixture fixture;
  fixture.worker.Start(Spec(true, "run_ms=30"), 0);
  CHECK(fixture.Task(90)["state"] == "throttled");
  CHECK(fixture.Task(90)["memory_mb"] == 10);
  CHECK(fixture.Task(90)["cpu_millis"] == 0);
  CHECK(fixture.worker.Release("t", 90));
  fixture.worker.Renew({"t"}, 100, 90);
  CHECK(fixture.Task(121)["state"] == "finished");
  CHECK(fixture.events.back() == "120 end finished");
}

TEST_CASE("throttling keeps the work that was done") {
  WorkerFixture fixture;
  fixture.worker.Start(Spec(false, "run_ms=30 fail=1"), 0);
  CHECK(fixture.worker.Throttle("t", 20));
  CHECK(fixture.worker.Checkpoint("t", 60) == "work_ms=20");
  CHECK(fixture.worker.Release("t", 80));
  CHECK(fixture.Task(95)["state"] == "failed");
  CHECK(fixture.Task(95)["exit"] == 1);
  CHECK(fixture.events.back() == "90 end failed");
}

TEST_CASE("stop tells whether the task was running and ever released") {
  WorkerFixture fixture;
  CHECK(!fixture.worker.Stop("t", 0).known);
  fixture.worker.Start(Spec(true), 0);
  const Worker::StopAnswer throttled = fixture.worker.Stop("t", 1);
  CHECK(throttled.known);
  CHECK(!throttled.released);
  CHECK(!fixture.worker.Release("t", 2));
  CHECK(!fixture.worker.Start(Spec(false), 3));

  fixture.worker.Restart("restart", 4);
  fixture.worker.Start(Spec(false), 5);
  const Worker::StopAnswer released = fixture.worker.Stop("t", 6);
  CHECK(released.known);
  CHECK(released.released);
}

TEST_CASE("a restarted worker runs and knows nothing, under a new boot") {
  WorkerFixture fixture;
  fixture.worker.Start(Spec(false), 0);
  const auto before = nlohmann::json::parse(fixture.worker.Report(1000, 1));
  fixture.worker.Restart("restart", 2);
  const auto after = nlohmann::json::parse(fixture.worker.Report(1000, 3));
  CHECK(after["tasks"].empty());
  CHECK(after["boot"] != before["boot"]);
  CHECK(fixture.worker.Start(Spec(false), 4));
}

TEST_CASE("reports lag, and ended tasks are forgotten after a while") {
  WorkerFixture fixture;
  fixture.worker.Report(50, 0);
  fixture.worker.Start(Spec(false, "run_ms=10"), 1);
  CHECK(fixture.Task(30, 50).is_null());
  CHECK(fixture.Task(80, 50)["state"] == "finished");
  CHECK(fixture.Task(1010)["state"] == "finished");
  CHECK(fixture.Task(1011).is_null());
}

TEST_CASE("used amounts follow the payload, not the declaration") {
  WorkerFixture fixture;
  fixture.worker.Start(Spec(false, "use_cpu=7 use_mem=8"), 0);
  CHECK(fixture.Task(1)["cpu_millis"] == 7);
  CHECK(fixture.Task(1)["memory_mb"] == 8);
}

}  // namespace azurespur::standins
