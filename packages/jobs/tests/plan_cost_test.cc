// How much work plans do: counts, no times.

#include <doctest/doctest.h>

#include "scheduler_fixture.h"

namespace azurespur::jobs {

using base::Millis;

namespace {

constexpr int kWorkers = 20;
constexpr JobId kGangs = 200;

// A cell that a batch job fills, with gangs that wait for room and advice.
void FillWithWaitingGangs(SchedulerFixture& f) {
  f.AddQueue("batch", 2);
  f.AddQueue("gangs", 1).advice = AdvicePolicy{80, 1, 1000000};
  f.vms = {"a", "b", "c", "d", "e", "f", "g", "h"};
  f.AddWorkers(kWorkers, 10);
  f.Submit(1, "batch", 2 * kWorkers, 5);
  f.Run(Millis{200});
  for (JobId i = 0; i < kGangs; ++i) {
    f.Submit(2 + i, "gangs", 4, 5, /*gang=*/true);
  }
}

void RunToFullPlan(SchedulerFixture& f) {
  const int64_t plans = f.scheduler.plan_counts().full_plans;
  while (f.scheduler.plan_counts().full_plans == plans) {
    f.Step();
  }
}

}  // namespace

// Guards against a plan of all waiting steps for each answer of the advice
// service: at a crest a leader spent its whole processor time on them.
TEST_CASE("advice for one step plans no other waiting step") {
  SchedulerFixture f;
  FillWithWaitingGangs(f);
  RunToFullPlan(f);
  REQUIRE(!f.sent_queries.empty());
  const PlanCounts before = f.scheduler.plan_counts();
  f.now += Millis{1};
  f.scheduler.OnAdvice(f.sent_queries.front().id, {}, f.now);
  f.scheduler.Tick(f.now, f.UnixMs(), f.now, f.out);
  const PlanCounts after = f.scheduler.plan_counts();
  CHECK(after.full_plans == before.full_plans);
  CHECK(after.steps_planned == before.steps_planned + 1);
}

// The other half: what the advice allows must not wait for the next full plan.
TEST_CASE("a gang starts as soon as it is advised") {
  SchedulerFixture f;
  f.AddQueue("gangs", 1).advice = AdvicePolicy{80, 1, 1000000};
  f.AddWorkers(4, 10);
  f.Run(Millis{200});
  f.Submit(1, "gangs", 4, 5, /*gang=*/true);
  RunToFullPlan(f);
  REQUIRE(f.sent_queries.size() == 1);
  std::vector<AdviceTicket> tickets;
  for (const std::string& worker : f.sent_queries[0].workers) {
    tickets.push_back({worker, "t"});
  }
  f.scheduler.OnAdvice(f.sent_queries[0].id, tickets, f.now);
  const int64_t plans = f.scheduler.plan_counts().full_plans;
  f.Step(Millis{1});
  CHECK(f.CountRunning(1) == 4);
  CHECK(f.scheduler.plan_counts().full_plans == plans);
}

// Guards against a look at every worker for each single task.
TEST_CASE("the tasks of a step are placed with one look at each worker") {
  SchedulerFixture f;
  f.AddQueue("batch", 2);
  f.AddWorkers(kWorkers, 10);
  f.Run(Millis{200});
  constexpr int kTasks = 2 * kWorkers;
  f.Submit(1, "batch", kTasks, 5);
  const PlanCounts before = f.scheduler.plan_counts();
  RunToFullPlan(f);
  const PlanCounts after = f.scheduler.plan_counts();
  CHECK(after.tasks_placed == before.tasks_placed + kTasks);
  CHECK(after.workers_examined <= before.workers_examined + kWorkers);
}

// Guards against a look at every worker for a gang that can only wait for the
// answer to its query.
TEST_CASE("a gang whose query is unanswered looks at no unadvised worker") {
  SchedulerFixture f;
  f.AddQueue("gangs", 1).advice = AdvicePolicy{80, 1, 1000000};
  f.AddWorkers(kWorkers, 10);
  f.Run(Millis{200});
  f.Submit(1, "gangs", 4, 5, /*gang=*/true);
  RunToFullPlan(f);
  REQUIRE(f.sent_queries.size() == 1);
  const PlanCounts before = f.scheduler.plan_counts();
  RunToFullPlan(f);
  const PlanCounts after = f.scheduler.plan_counts();
  CHECK(after.steps_planned > before.steps_planned);
  CHECK(after.workers_examined == before.workers_examined);
  CHECK(f.CountRunning(1) == 0);
}

// Guards against a backlog of single tasks that costs a look at each worker for
// each of its steps in each plan while the cell is full.
TEST_CASE("a backlog that fits nowhere costs no look at the workers") {
  SchedulerFixture f;
  f.AddQueue("batch", 2);
  f.AddWorkers(kWorkers, 10);
  f.Submit(1, "batch", 2 * kWorkers, 5);
  f.Run(Millis{200});
  REQUIRE(f.CountRunning(1) == 2 * kWorkers);
  for (JobId i = 0; i < 200; ++i) {
    f.Submit(2 + i, "batch", 4, 5);
  }
  RunToFullPlan(f);
  const int64_t before = f.scheduler.plan_counts().workers_examined;
  for (int i = 0; i < 10; ++i) {
    RunToFullPlan(f);
  }
  CHECK(f.scheduler.plan_counts().workers_examined == before);
}

}  // namespace azurespur::jobs
