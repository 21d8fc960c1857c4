#include "placement/worker_health.h"

#include <doctest/doctest.h>

#include <string>

namespace azurespur::placement {
namespace {

JobKey Job(int number) {
  return {"plan", "job" + std::to_string(number)};
}

std::string WorkerId(int number) {
  return "w" + std::to_string(number);
}

TEST_CASE("a worker on which different jobs fail is quarantined and probed") {
  WorkerHealth health;
  health.SetWorkerCount(100);
  CHECK_FALSE(health.RecordFailure("w0", Job(1), 0).quarantine_worker);
  CHECK_FALSE(health.RecordFailure("w0", Job(1), 0).quarantine_worker);
  CHECK_FALSE(health.RecordFailure("w0", Job(2), 0).quarantine_worker);
  CHECK(health.RecordFailure("w0", Job(3), 0).quarantine_worker);
  CHECK(health.TakeDueProbes(29'999).empty());
  CHECK(health.TakeDueProbes(30'000).size() == 1);
  CHECK(health.TakeDueProbes(30'001).empty());

  SUBCASE("a failed probe doubles the time to the next probe") {
    health.RecordFailure("w0", Job(4), 31'000);
    CHECK(health.TakeDueProbes(31'000 + 119'999).empty());
    CHECK(health.TakeDueProbes(31'000 + 120'000).size() == 1);
  }
  SUBCASE("a successful start ends the quarantine") {
    health.RecordSuccess("w0", Job(4));
    CHECK_FALSE(health.IsQuarantined("w0"));
    CHECK(health.QuarantinedCount() == 0);
  }
}

TEST_CASE("a job that fails on healthy workers is failed, not the workers") {
  WorkerHealth health;
  health.SetWorkerCount(100);
  for (int i = 0; i < 100; ++i) {
    health.RecordSuccess(WorkerId(i), Job(0));
  }
  HealthVerdict verdict;
  int failures = 0;
  while (!verdict.fail_job_reason && failures < 100) {
    verdict = health.RecordFailure(WorkerId(failures), Job(1), 0);
    ++failures;
  }
  CHECK(failures == 4);
  CHECK(*verdict.fail_job_reason ==
        "job \"job1\" of plan \"plan\" failed to start on 4 different workers "
        "and started on none");
  CHECK(health.QuarantinedCount() == 0);
}

TEST_CASE("failures on faulty workers do not fail a job") {
  WorkerHealth health;
  health.SetWorkerCount(100);
  for (int worker = 0; worker < 4; ++worker) {
    for (int job = 0; job < 3; ++job) {
      const HealthVerdict verdict =
          health.RecordFailure(WorkerId(worker), Job(job), 0);
      CHECK_FALSE(verdict.fail_job_reason);
    }
  }
  CHECK(health.QuarantinedCount() == 4);
}

TEST_CASE("quarantine caused by many faulty jobs stays within the budget") {
  WorkerHealth health;
  health.SetWorkerCount(50);
  bool over_budget = false;
  for (int worker = 0; worker < 50; ++worker) {
    for (int job = 0; job < 5; ++job) {
      // Different jobs on each worker, so that no job is found to be faulty.
      over_budget |=
          health.RecordFailure(WorkerId(worker), Job(worker * 5 + job), 0)
              .over_budget;
    }
  }
  CHECK(health.QuarantinedCount() == 5);
  CHECK(over_budget);
}

}  // namespace
}  // namespace azurespur::placement
