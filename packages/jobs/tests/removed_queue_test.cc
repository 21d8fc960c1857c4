// Accepted jobs whose queue is removed from the policy.

#include <doctest/doctest.h>

#include "scheduler_fixture.h"

namespace azurespur::jobs {

using base::Millis;

namespace {

// A job of two steps, of which the first one runs.
struct RemovedQueueFixture : SchedulerFixture {
  RemovedQueueFixture() {
    AddQueue("batch", 1).max_attempts = 2;
    AddWorkers(2, 100);
    Run(Millis{200});
    JobSpec& spec = Submit(1, "batch", 1, 10);
    StepSpec second = spec.steps[0];
    second.after = {0};
    spec.steps.push_back(second);
    table = JobTable();
    table.Submit(Submission{spec, policy.queues["batch"]}, now);
    Run(Millis{200});
    policy.queues.clear();
    Run(Millis{200});
  }

  const TaskRef first{1, 0, 0};
  const TaskRef second{1, 1, 0};
};

}  // namespace

// Guards against accepted work that never runs since its queue is removed.
TEST_CASE("a job goes on after its queue is removed") {
  RemovedQueueFixture f;
  REQUIRE(f.IsRunning(f.first));
  f.End(f.first, EndCause::kDone);
  f.Run(Millis{400});
  REQUIRE(f.IsRunning(f.second));
  f.End(f.second, EndCause::kDone);
  f.Run(Millis{400});
  CHECK(f.table.StateOf(1) == JobState::kCompleted);
}

// Guards against a task without end: the limit of attempts was looked up in the
// policy alone.
TEST_CASE("attempts are limited after the queue is removed") {
  RemovedQueueFixture f;
  f.End(f.first, EndCause::kFailed);
  f.Run(Millis{400});
  f.End(f.first, EndCause::kFailed);
  f.Run(Millis{400});
  CHECK(f.table.StateOf(1) == JobState::kFailed);
  CHECK(f.started.size() == 2);
}

TEST_CASE("the newest terms of a queue apply while it is there") {
  RemovedQueueFixture f;
  f.AddQueue("batch", 1).service = "other";
  f.End(f.first, EndCause::kDone);
  f.Run(Millis{400});
  CHECK_FALSE(f.IsRunning(f.second));
  f.policy.queues.clear();
  f.Run(Millis{400});
  CHECK(f.IsRunning(f.second));
}

}  // namespace azurespur::jobs
