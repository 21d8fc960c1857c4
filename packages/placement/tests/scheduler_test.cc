#include "placement/scheduler.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <string>
#include <vector>

namespace azurespur::placement {
namespace {

constexpr PassLimits kNoLimits = {1'000'000, 1'000'000};

// Creates a cell of identical workers, each in its own rack. Reserves are off.
Scheduler MakeScheduler(int workers, Resources capacity) {
  SchedulerOptions options;
  options.service_reserve = 0;
  options.short_work_reserve = 0;
  Scheduler scheduler(options);
  for (int i = 0; i < workers; ++i) {
    scheduler.cell().UpdateWorker({"w" + std::to_string(i),
                                   "r" + std::to_string(i),
                                   WorkerCondition::kLive,
                                   capacity,
                                   {}});
  }
  scheduler.SetAllWorkersKnown(true);
  return scheduler;
}

TaskDemand MakeTask(std::string id, std::string plan, int64_t cpu_millis) {
  TaskDemand demand;
  demand.id = std::move(id);
  demand.plan = std::move(plan);
  demand.job = "job";
  demand.size = {cpu_millis, 0, 0};
  return demand;
}

TaskDemand MakeGang(std::string id, int64_t members, int64_t cpu_millis) {
  TaskDemand demand = MakeTask(std::move(id), "gangs", cpu_millis);
  demand.task_class = TaskClass::kGang;
  demand.gang_size = members;
  demand.job = "gang";
  return demand;
}

void ObserveRuns(Scheduler& scheduler, const JobKey& key, int64_t run_ms) {
  for (int i = 0; i < 10; ++i) {
    scheduler.ObserveRun(key, run_ms, {});
  }
}

std::vector<std::string> StartedIds(const PassResult& result) {
  std::vector<std::string> ids;
  for (const StartDecision& start : result.starts) {
    ids.push_back(start.demand.id);
  }
  return ids;
}

using Ids = std::vector<std::string>;

TEST_CASE("an infeasible task fails as soon as all workers are known") {
  Scheduler scheduler = MakeScheduler(1, {4000, 4096, 0});
  scheduler.SetAllWorkersKnown(false);
  scheduler.Submit(MakeTask("large", "a", 5000));
  CHECK(scheduler.RunPass(0, kNoLimits).failures.empty());
  scheduler.SetAllWorkersKnown(true);
  const PassResult result = scheduler.RunPass(1, kNoLimits);
  REQUIRE(result.failures.size() == 1);
  CHECK(result.failures[0].reason ==
        "task \"large\" needs cpu_millis=5000, the largest worker \"w0\" has "
        "4000");
}

TEST_CASE(
    "a demand above its plan's limit fails, one above what is left waits") {
  Scheduler scheduler = MakeScheduler(1, {4000, 4096, 0});
  PlanAllowance allowance;
  allowance.limit = {2000, 4096, 0};
  scheduler.queue().SetAllowance("a", allowance);
  scheduler.Submit(MakeTask("above", "a", 3000));
  scheduler.Submit(MakeTask("first", "a", 2000));
  scheduler.Submit(MakeTask("second", "a", 1000));
  const PassResult result = scheduler.RunPass(0, kNoLimits);
  CHECK(result.failures.size() == 1);
  CHECK(StartedIds(result) == Ids{"first"});
  scheduler.EndTask("first");
  CHECK(StartedIds(scheduler.RunPass(1, kNoLimits)) == Ids{"second"});
}

TEST_CASE("plans get equal dominant shares of unequal quotas") {
  Scheduler scheduler = MakeScheduler(1, {12000, 4096, 0});
  scheduler.queue().SetAllowance("a", {.quota = {8000, 4096, 0}});
  scheduler.queue().SetAllowance("b", {.quota = {4000, 4096, 0}});
  for (int i = 0; i < 12; ++i) {
    scheduler.Submit(MakeTask("a" + std::to_string(i), "a", 1000));
    scheduler.Submit(MakeTask("b" + std::to_string(i), "b", 1000));
  }
  scheduler.RunPass(0, kNoLimits);
  CHECK(scheduler.queue().UsageOf("a").cpu_millis == 8000);
  CHECK(scheduler.queue().UsageOf("b").cpu_millis == 4000);
}

TEST_CASE("short tasks overtake long tasks without starving them") {
  Scheduler scheduler = MakeScheduler(1, {1000, 4096, 0});
  TaskDemand longer = MakeTask("long", "a", 1000);
  longer.job = "long";
  longer.expected_run_ms = 1'000'000;
  scheduler.Submit(longer);
  int64_t now_ms = 0;
  int shorts_before_long = 0;
  for (; shorts_before_long < 10'000; ++shorts_before_long) {
    TaskDemand shorter = MakeTask("s", "a", 1000);
    shorter.expected_run_ms = 1000;
    shorter.submitted_ms = now_ms;
    scheduler.Submit(shorter);
    const PassResult result = scheduler.RunPass(now_ms, kNoLimits);
    REQUIRE(result.starts.size() == 1);
    if (result.starts[0].demand.id == "long") {
      break;
    }
    scheduler.EndTask("s");
    now_ms += 1000;
  }
  CHECK(shorts_before_long > 0);
  CHECK(shorts_before_long < 10'000);
}

TEST_CASE("low-priority tasks wait for high-priority tasks but do not starve") {
  Scheduler scheduler = MakeScheduler(1, {1000, 4096, 0});
  scheduler.Submit(MakeTask("low", "a", 1000));
  constexpr int64_t kMinute = 60'000;
  int64_t now_ms = 0;
  bool started = false;
  for (; !started && now_ms < 1000 * kMinute; now_ms += kMinute) {
    TaskDemand high = MakeTask("high", "a", 1000);
    high.priority = 1;
    high.submitted_ms = now_ms;
    scheduler.Submit(high);
    const Ids ids = StartedIds(scheduler.RunPass(now_ms, kNoLimits));
    REQUIRE(ids.size() == 1);
    started = ids.front() == "low";
    scheduler.EndTask(ids.front());
  }
  CHECK(started);
  CHECK(now_ms > kMinute);
}

TEST_CASE("a gang gets a reservation and only tasks that end before it start") {
  Scheduler scheduler = MakeScheduler(2, {4000, 4096, 0});
  ObserveRuns(scheduler, {"a", "job"}, 10'000);  // Bound 15 s.
  ObserveRuns(scheduler, {"a", "tiny"}, 2'000);  // Bound 3 s.
  scheduler.Submit(MakeTask("running", "a", 2000));
  REQUIRE(scheduler.RunPass(0, kNoLimits).starts.size() == 1);

  scheduler.Submit(MakeGang("gang", 2, 4000));
  TaskDemand same = MakeTask("same-length", "a", 2000);
  TaskDemand unknown = MakeTask("unknown-length", "a", 2000);
  unknown.job = "unknown";
  unknown.expected_run_ms = 1;  // A declared time is no bound.
  TaskDemand tiny = MakeTask("tiny", "a", 2000);
  tiny.job = "tiny";
  scheduler.Submit(same);
  scheduler.Submit(unknown);
  scheduler.Submit(tiny);
  CHECK(StartedIds(scheduler.RunPass(5'000, kNoLimits)) == Ids{"tiny"});
  REQUIRE(scheduler.reservation());
  CHECK(scheduler.reservation()->start_ms == 15'000);

  scheduler.EndTask("tiny");
  scheduler.EndTask("running");
  CHECK(StartedIds(scheduler.RunPass(9'000, kNoLimits)) == Ids{"gang"});
  CHECK_FALSE(scheduler.reservation());
}

TEST_CASE("a large single task that has waited long gets a reservation") {
  Scheduler scheduler = MakeScheduler(1, {4000, 4096, 0});
  ObserveRuns(scheduler, {"a", "job"}, 10'000);
  scheduler.Submit(MakeTask("small0", "a", 1000));
  scheduler.RunPass(0, kNoLimits);
  TaskDemand whole = MakeTask("whole", "a", 4000);
  scheduler.Submit(whole);
  scheduler.RunPass(100'000, kNoLimits);
  REQUIRE(scheduler.reservation());
  scheduler.Submit(MakeTask("small1", "b", 1000));
  CHECK(scheduler.RunPass(100'001, kNoLimits).starts.empty());
}

TEST_CASE("batch tasks keep the service reserve free") {
  Scheduler scheduler;
  scheduler.cell().UpdateWorker(
      {"w0", "r0", WorkerCondition::kLive, {100'000, 100'000, 0}, {}});
  scheduler.SetAllWorkersKnown(true);
  for (int i = 0; i < 100; ++i) {
    scheduler.Submit(MakeTask("t" + std::to_string(i), "a", 1000));
  }
  CHECK(scheduler.RunPass(0, kNoLimits).starts.size() == 95);
  TaskDemand service = MakeTask("service", "a", 5000);
  service.task_class = TaskClass::kService;
  scheduler.Submit(service);
  CHECK(StartedIds(scheduler.RunPass(1, kNoLimits)) == Ids{"service"});
}

TEST_CASE("an urgent task evicts the cheapest batch task and then starts") {
  Scheduler scheduler = MakeScheduler(2, {4000, 4096, 0});
  scheduler.queue().SetAllowance("quota", {.quota = {8000, 4096, 0}});
  scheduler.queue().SetAllowance("approve", {.quota = {},
                                             .limit = kUnlimited,
                                             .urgent_limit = kUnlimited,
                                             .mode = ActionMode::kApprove});
  TaskDemand service = MakeTask("service", "quota", 2000);
  service.task_class = TaskClass::kService;
  scheduler.Submit(service);
  scheduler.Submit(MakeTask("within", "quota", 2000));
  scheduler.Submit(MakeTask("over1", "none", 2000));
  TaskDemand approve = MakeTask("over2", "approve", 2000);
  approve.checkpointable = true;
  scheduler.Submit(approve);
  REQUIRE(scheduler.RunPass(0, kNoLimits).starts.size() == 4);

  TaskDemand urgent = MakeTask("urgent", "quota", 2000);
  urgent.urgent = true;
  urgent.submitted_ms = 100'000;
  scheduler.Submit(urgent);
  const PassResult result = scheduler.RunPass(100'000, kNoLimits);
  REQUIRE(result.preemptions.size() == 1);
  CHECK(result.preemptions[0].victims == Ids{"over2"});
  CHECK(result.preemptions[0].needs_approval);
  CHECK(scheduler.RunPass(100'001, kNoLimits).preemptions.empty());

  scheduler.Requeue(approve);
  CHECK(StartedIds(scheduler.RunPass(100'002, kNoLimits)) == Ids{"urgent"});
}

TEST_CASE("urgent tasks that are pending together evict different tasks") {
  Scheduler scheduler = MakeScheduler(2, {1000, 4096, 0});
  scheduler.Submit(MakeTask("b0", "a", 1000));
  scheduler.Submit(MakeTask("b1", "a", 1000));
  REQUIRE(scheduler.RunPass(0, kNoLimits).starts.size() == 2);
  for (const char* id : {"u0", "u1", "u2"}) {
    TaskDemand urgent = MakeTask(id, "b", 1000);
    urgent.urgent = true;
    scheduler.Submit(urgent);
  }
  const PassResult result = scheduler.RunPass(1, kNoLimits);
  REQUIRE(result.preemptions.size() == 2);
  CHECK(result.preemptions[0].victims != result.preemptions[1].victims);
}

TEST_CASE("a refused task starts when a worker update frees room") {
  Scheduler scheduler = MakeScheduler(1, {1000, 4096, 0});
  WorkerState worker = *scheduler.cell().FindWorker("w0");
  worker.used = {500, 0, 0};
  scheduler.cell().UpdateWorker(worker);
  scheduler.Submit(MakeTask("t", "a", 1000));
  CHECK(scheduler.RunPass(0, kNoLimits).starts.empty());
  CHECK(scheduler.RunPass(1, kNoLimits).starts.empty());
  worker.used = {};
  scheduler.cell().UpdateWorker(worker);
  CHECK(scheduler.RunPass(2, kNoLimits).starts.size() == 1);
}

TEST_CASE("urgent tasks stay within the urgent limit of their plan") {
  Scheduler scheduler = MakeScheduler(1, {4000, 4096, 0});
  scheduler.queue().SetAllowance(
      "a", {.quota = {}, .limit = kUnlimited, .urgent_limit = {1000, 4096, 0}});
  for (const char* id : {"u1", "u2"}) {
    TaskDemand urgent = MakeTask(id, "a", 1000);
    urgent.urgent = true;
    scheduler.Submit(urgent);
  }
  CHECK(scheduler.RunPass(0, kNoLimits).starts.size() == 1);
}

TEST_CASE(
    "urgent tasks of a plan with a zero urgent limit are scheduled normally") {
  Scheduler scheduler = MakeScheduler(1, {1000, 4096, 0});
  scheduler.queue().SetAllowance(
      "a", {.quota = {}, .limit = kUnlimited, .urgent_limit = {0, 0, 0}});
  TaskDemand urgent = MakeTask("u", "a", 1000);
  urgent.urgent = true;
  scheduler.Submit(MakeTask("first", "b", 1000));
  scheduler.RunPass(0, kNoLimits);
  scheduler.Submit(urgent);
  CHECK(scheduler.RunPass(1, kNoLimits).preemptions.empty());
  scheduler.EndTask("first");
  CHECK(StartedIds(scheduler.RunPass(2, kNoLimits)) == Ids{"u"});
}

TEST_CASE("the size observed in earlier runs is reserved if it is larger") {
  Scheduler scheduler = MakeScheduler(1, {4000, 8192, 0});
  for (int i = 0; i < 10; ++i) {
    scheduler.ObserveRun({"a", "job"}, 1000, {2500, 1000, 0});
  }
  scheduler.Submit(MakeTask("t", "a", 250));
  const PassResult result = scheduler.RunPass(0, kNoLimits);
  REQUIRE(result.starts.size() == 1);
  CHECK(result.starts[0].size == Resources{3000, 1200, 0});
  CHECK(scheduler.cell().TotalRoom() == Resources{1000, 6992, 0});
  scheduler.EndTask("t");
  CHECK(scheduler.cell().TotalRoom() == Resources{4000, 8192, 0});
}

TEST_CASE("cancelled tasks are grouped by their state") {
  Scheduler scheduler = MakeScheduler(1, {1000, 4096, 0});
  scheduler.Submit(MakeTask("t1", "a", 1000));
  scheduler.Submit(MakeTask("t2", "a", 1000));
  scheduler.RunPass(0, kNoLimits);
  const Ids ids = {"t1", "t2", "t3"};
  const CancelResult result = scheduler.Cancel(ids);
  CHECK(result.running == Ids{"t1"});
  CHECK(result.not_started == Ids{"t2"});
  CHECK(result.unknown == Ids{"t3"});
}

TEST_CASE("a probing worker gets a single batch task") {
  Scheduler scheduler = MakeScheduler(1, {4000, 4096, 0});
  WorkerState worker = *scheduler.cell().FindWorker("w0");
  worker.condition = WorkerCondition::kProbing;
  scheduler.cell().UpdateWorker(worker);
  scheduler.Submit(MakeTask("t1", "a", 1000));
  scheduler.Submit(MakeTask("t2", "a", 1000));
  CHECK(scheduler.RunPass(0, kNoLimits).starts.size() == 1);
}

}  // namespace
}  // namespace azurespur::placement
