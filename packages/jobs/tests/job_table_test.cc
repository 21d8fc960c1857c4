#include "jobs/job_table.h"

#include <doctest/doctest.h>

#include <string>

namespace azurespur::jobs {

namespace {

using base::Millis;
using base::MonoTime;

constexpr MonoTime kNow{Millis{1000}};
const std::string kWorkerId = "w1";
constexpr JobId kJob = 0x1234;

JobSpec MakeJob(int32_t tasks, bool gang = false) {
  JobSpec spec;
  spec.id = kJob;
  spec.queue = std::string("q");
  StepSpec step;
  step.count = tasks;
  step.gang = gang;
  spec.steps = {step};
  return spec;
}

BindRecord Bind(int32_t index, int32_t run) {
  return BindRecord{{kJob, 0, index}, run, {kWorkerId, 7}};
}

EndRecord End(int32_t index, int32_t run, EndKind kind) {
  return EndRecord{{kJob, 0, index}, run, kind, {}};
}

}  // namespace

TEST_CASE("a job is completed once all its tasks are done") {
  JobTable table;
  CHECK(table.Submit(MakeJob(2), kNow));
  CHECK(table.StateOf(kJob) == JobState::kQueued);
  CHECK(table.CountPending("q") == 1);
  table.Apply(WorkRecord(Bind(0, 1)), kNow);
  table.Apply(WorkRecord(Bind(1, 1)), kNow);
  table.Apply(WorkRecord(JobStartedRecord{kJob}), kNow);
  CHECK(table.StateOf(kJob) == JobState::kRunning);
  CHECK(table.CountPending("q") == 0);
  table.Apply(WorkRecord(End(0, 1, EndKind::kDone)), kNow);
  CHECK(table.StateOf(kJob) == JobState::kRunning);
  table.Apply(WorkRecord(End(1, 1, EndKind::kDone)), kNow);
  CHECK(table.StateOf(kJob) == JobState::kCompleted);
}

TEST_CASE("a second submission of a job is ignored, also after the job's end") {
  JobTable table;
  table.Submit(MakeJob(1), kNow);
  CHECK_FALSE(table.Submit(MakeJob(5), kNow));
  table.Apply(WorkRecord(Bind(0, 1)), kNow);
  table.Apply(WorkRecord(End(0, 1, EndKind::kDone)), kNow);
  CHECK_FALSE(table.Submit(MakeJob(1), kNow));
  CHECK(table.StateOf(kJob) == JobState::kCompleted);
}

TEST_CASE("a job whose runs were all released is still queued") {
  JobTable table;
  table.Submit(MakeJob(1), kNow);
  table.Apply(WorkRecord(Bind(0, 1)), kNow);
  CHECK(table.CountPending("q") == 1);
  table.Apply(WorkRecord(End(0, 1, EndKind::kReleased)), kNow);
  CHECK(table.StateOf(kJob) == JobState::kQueued);
  CHECK(table.CountPending("q") == 1);
}

TEST_CASE("the end of an older run is ignored") {
  JobTable table;
  table.Submit(MakeJob(1), kNow);
  table.Apply(WorkRecord(Bind(0, 1)), kNow);
  table.Apply(WorkRecord(End(0, 1, EndKind::kReleased)), kNow);
  table.Apply(WorkRecord(Bind(0, 2)), kNow);
  table.Apply(WorkRecord(End(0, 1, EndKind::kDone)), kNow);
  CHECK(table.Find(kJob)->steps[0].tasks[0].phase == TaskPhase::kBound);
}

// A VM that starts reads the whole intake stream before the work stream, so it
// reads cancellations before earlier bindings.
TEST_CASE("a binding that is read after a cancellation is applied") {
  JobTable table;
  table.Submit(MakeJob(1), kNow);
  table.Cancel(kJob, /*offset=*/5, kNow);
  CHECK(table.StateOf(kJob) == JobState::kCancelled);
  table.Apply(WorkRecord(HeartbeatRecord{1, 5}), kNow);
  table.Apply(WorkRecord(Bind(0, 1)), kNow);
  REQUIRE(table.Find(kJob) != nullptr);
  CHECK(table.Find(kJob)->steps[0].bound == 1);
  table.Apply(WorkRecord(HeartbeatRecord{1, 6}), kNow);
  REQUIRE(table.Find(kJob) != nullptr);
  table.Apply(WorkRecord(End(0, 1, EndKind::kReleased)), kNow);
  CHECK(table.Find(kJob) == nullptr);
  CHECK(table.StateOf(kJob) == JobState::kCancelled);
}

TEST_CASE("the end of one member completes the whole gang") {
  JobTable table;
  table.Submit(MakeJob(3, /*gang=*/true), kNow);
  for (int32_t i = 0; i < 3; ++i) {
    table.Apply(WorkRecord(Bind(i, 1)), kNow);
  }
  table.Apply(WorkRecord(End(1, 1, EndKind::kDone)), kNow);
  CHECK(table.StateOf(kJob) == JobState::kCompleted);
}

TEST_CASE("failures of several members of one gang run count once") {
  JobTable table;
  table.Submit(MakeJob(2, /*gang=*/true), kNow);
  table.Apply(WorkRecord(Bind(0, 1)), kNow);
  table.Apply(WorkRecord(Bind(1, 1)), kNow);
  table.Apply(WorkRecord(End(0, 1, EndKind::kFailed)), kNow);
  table.Apply(WorkRecord(End(1, 1, EndKind::kFailed)), kNow);
  CHECK(table.Find(kJob)->steps[0].failed_runs == 1);
}

TEST_CASE("final states of jobs are kept for the retention time") {
  JobTable table;
  table.Submit(MakeJob(1), kNow);
  table.Apply(WorkRecord(Bind(0, 1)), kNow);
  table.Apply(WorkRecord(End(0, 1, EndKind::kDone)), kNow);
  table.RemoveExpired(kNow + Millis{100}, Millis{1000});
  CHECK(table.StateOf(kJob) == JobState::kCompleted);
  table.RemoveExpired(kNow + Millis{2000}, Millis{1000});
  CHECK_FALSE(table.StateOf(kJob).has_value());
}

}  // namespace azurespur::jobs
