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

// Guards against a process that ends on each read of a damaged record: a
// negative count of tasks is no size, and a step that follows one outside the
// job is read out of bounds.
TEST_CASE("a submission whose steps are impossible is an error") {
  for (const JobSpec& spec :
       {MakeJob(-1, {}), MakeJob(kMaxTasksPerStep + 1, {}), MakeJob(1, {1}),
        MakeJob(1, {-1}), MakeJob(1, {1 << 30})}) {
    const auto record = DecodeIntake(EncodeIntake(spec));
    REQUIRE_FALSE(base::Ok(record));
    CHECK(base::GetError(record).message ==
          "steps of job 0000000000000007 are not valid");
  }
}

}  // namespace azurespur::jobs
