#include "jobs/records.h"

#include <doctest/doctest.h>

#include <vector>

#include "base/outcome.h"

namespace azurespur::jobs {

namespace {

JobSpec MakeJob(int32_t count, std::vector<int32_t> after) {
  JobSpec spec;
  spec.id = 7;
  StepSpec first;
  first.count = 1;
  StepSpec second;
  second.count = count;
  second.after = std::move(after);
  spec.steps = {first, second};
  return spec;
}

}  // namespace

TEST_CASE("a submission in the intake stream is decoded") {
  const auto record = DecodeIntake(EncodeIntake(MakeJob(3, {0})));
  REQUIRE(base::Ok(record));
  CHECK(std::get<JobSpec>(base::Value(record)).steps[1].count == 3);
}

TEST_CASE("a submission is decoded with the terms of its queue") {
  QueueTerms terms;
  terms.service = "s";
  terms.stretch = 2.5;
  const auto record =
      DecodeIntake(EncodeIntake(Submission{MakeJob(3, {0}), terms}));
  REQUIRE(base::Ok(record));
  CHECK(JobOf(base::Value(record)) == 7);
  const auto& submission = std::get<Submission>(base::Value(record));
  CHECK(submission.terms.service == "s");
  CHECK(submission.terms.stretch == 2.5);
  CHECK_FALSE(submission.terms.advice);
}

// Earlier releases store no settled bindings, and read those of this one.
TEST_CASE("a heartbeat is decoded with and without its settled bindings") {
  const auto with = DecodeWork(EncodeWork(HeartbeatRecord{3, 8, uint64_t{5}}));
  REQUIRE(base::Ok(with));
  const auto& heartbeat = std::get<HeartbeatRecord>(base::Value(with));
  CHECK(heartbeat.epoch == 3);
  CHECK(heartbeat.intake_end == 8);
  CHECK(heartbeat.settled_binds == 5);
  const auto without = DecodeWork(EncodeWork(HeartbeatRecord{3, 8, {}}));
  REQUIRE(base::Ok(without));
  CHECK_FALSE(std::get<HeartbeatRecord>(base::Value(without)).settled_binds);
}

// Earlier releases store no address, and read what comes before it.
TEST_CASE("a binding is decoded with and without the worker's address") {
  const BindRecord bind{{1, 0, 2}, 3, {"w", 7}, "10.0.0.1:80"};
  const std::string bytes = EncodeWork(bind);
  const auto with = DecodeWork(bytes);
  REQUIRE(base::Ok(with));
  CHECK(std::get<BindRecord>(base::Value(with)).address == bind.address);
  const std::string former = EncodeWork(BindRecord{bind.task, 3, bind.worker});
  CHECK(bytes.starts_with(former));
  const auto without = DecodeWork(former);
  REQUIRE(base::Ok(without));
  const auto& read = std::get<BindRecord>(base::Value(without));
  CHECK(read.task == bind.task);
  CHECK(read.run == 3);
  CHECK(read.worker == bind.worker);
  CHECK(read.address.empty());
}

// Guards against a process that ends on each read of a damaged record: a
// negative count of tasks is no size, and a step that follows one outside the
// job is read out of bounds.
TEST_CASE("a submission whose steps are impossible is an error") {
  for (const JobSpec& spec :
       {MakeJob(-1, {}), MakeJob(kMaxTasksPerStep + 1, {}), MakeJob(1, {1}),
        MakeJob(1, {-1}), MakeJob(1, {1 << 30})}) {
    for (const IntakeRecord& stored :
         {IntakeRecord(spec), IntakeRecord(Submission{spec, {}}),
          IntakeRecord(ReceivedSubmission{{spec, {}}, 0})}) {
      const auto record = DecodeIntake(EncodeIntake(stored));
      REQUIRE_FALSE(base::Ok(record));
      CHECK(base::GetError(record).message ==
            "steps of job 0000000000000007 are not valid");
    }
  }
}

}  // namespace azurespur::jobs
