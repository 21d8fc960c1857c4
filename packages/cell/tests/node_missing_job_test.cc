// "No such job" at a VM that knows nothing of the job's appends: another VM
// sent them, or this one did before it was started again. The log may still
// carry them out.

#include <doctest/doctest.h>

#include <memory>
#include <vector>

#include "node_fixture.h"

namespace azurespur::cell {

namespace {

using base::Millis;

constexpr jobs::JobId kJob = 7;
constexpr Millis kTimeout{2000};

struct MissingJobFixture : NodeFixture {
  MissingJobFixture() {
    StoreWork(jobs::LeaderRecord{kOtherEpoch, "vm-b", "10.0.0.2:1"});
    Pass(Millis{300});
  }

  static jobs::Submission MakeSubmission() {
    jobs::Submission submission;
    submission.spec.id = kJob;
    submission.spec.queue = "q";
    submission.spec.steps.resize(1);
    return submission;
  }

  // The end of the intake stream.
  int64_t IntakeEnd() {
    return static_cast<int64_t>(Topic(kIntakeTopic).size());
  }

  // The log carries out an append of a submission that another VM received when
  // it had read the stream up to `intake_next`.
  void CarryOutAppend(int64_t intake_next) {
    StoreIntake(jobs::ReceivedSubmission{MakeSubmission(), intake_next});
    Pass(Millis{1500});
  }

  IntakeOutcome Submit() {
    auto answers = std::make_shared<std::vector<IntakeOutcome>>();
    node.Submit(
        MakeSubmission(), clock.now + kTimeout,
        [answers](IntakeOutcome outcome) { answers->push_back(outcome); });
    node.RunPending();
    Pass(kTimeout + Millis{100});
    REQUIRE(answers->size() == 1);
    return answers->front();
  }

  bool IsMissing() {
    const JobStateResult result = FindState(kJob);
    return result.known && !result.state;
  }
};

}  // namespace

// Guards against a job that runs after its caller was told at another VM, or at
// this one after a restart, that there is no such job.
TEST_CASE("a job that was answered as missing is not accepted afterwards") {
  MissingJobFixture f;
  const int64_t received_at = f.IntakeEnd();
  REQUIRE(f.IsMissing());
  SUBCASE("an append from before the answer") {
    f.CarryOutAppend(received_at);
  }
  SUBCASE("two such appends") {
    f.CarryOutAppend(received_at);
    f.CarryOutAppend(received_at);
  }
  SUBCASE("an append of an earlier release") {
    f.StoreIntake(MissingJobFixture::MakeSubmission());
    f.Pass(Millis{1500});
  }
  CHECK(f.IsMissing());
}

// Guards against the same at the VM that sent the append.
TEST_CASE("the state of a job whose append is open is answered for good") {
  MissingJobFixture f;
  const int64_t received_at = f.IntakeEnd();
  for (int i = 0; i < 8; ++i) {
    f.log.log.InjectFault(AppendFault::kLoseRequest);
  }
  REQUIRE(f.Submit() == IntakeOutcome::kUnknown);
  f.log.log.ClearFaults();
  SUBCASE("carried out before the question") {
    f.CarryOutAppend(received_at);
    CHECK(f.FindState(kJob).state == jobs::JobState::kQueued);
  }
  SUBCASE("carried out after the answer") {
    REQUIRE(f.IsMissing());
    f.CarryOutAppend(received_at);
    CHECK(f.IsMissing());
  }
}

// Guards against a caller that submits the job again, is told that it is
// accepted, and whose job is lost as void.
TEST_CASE("a job that was answered as missing can be submitted again") {
  MissingJobFixture f;
  SUBCASE("at the VM that answered") {
    REQUIRE(f.IsMissing());
  }
  SUBCASE("at a VM that has not read the declaration: after a refusal") {
    f.StoreIntake(jobs::MissingJobRecord{kJob});
    REQUIRE(f.Submit() == IntakeOutcome::kNotAccepted);
  }
  CHECK(f.Submit() == IntakeOutcome::kAccepted);
  CHECK(f.FindState(kJob).state == jobs::JobState::kQueued);
}

// Guards against a request that waits in this VM while its caller leaves, hears
// elsewhere that there is no such job, and whose job then runs.
TEST_CASE("a request that waited through the declaration is refused") {
  MissingJobFixture f;
  std::vector<IntakeOutcome> answers;
  f.StoreIntake(jobs::MissingJobRecord{kJob});
  // The declaration is read, and handled before the request.
  f.clock.now += NodeOptions{}.poll_interval;
  f.node.RunPending();
  f.log.log.DeliverResponses();
  f.node.Submit(
      MissingJobFixture::MakeSubmission(), f.clock.now + kTimeout,
      [&answers](IntakeOutcome outcome) { answers.push_back(outcome); });
  f.Pass(kTimeout);
  REQUIRE(answers.size() == 1);
  CHECK(answers.front() == IntakeOutcome::kNotAccepted);
  CHECK(f.IsMissing());
}

// Guards against "accepted" for a submission whose fate this VM can't read.
TEST_CASE("a submission after records that can't be read is not accepted") {
  MissingJobFixture f;
  f.StoreIntake(jobs::MissingJobRecord{kJob});
  f.log.log.readable = false;
  CHECK(f.Submit() == IntakeOutcome::kUnknown);
}

TEST_CASE("a known job can't be declared missing") {
  MissingJobFixture f;
  f.CarryOutAppend(f.IntakeEnd());
  f.StoreIntake(jobs::MissingJobRecord{kJob});
  f.Pass(Millis{1500});
  CHECK(f.FindState(kJob).state == jobs::JobState::kQueued);
}

// Guards against "no such job" while nothing can make that true.
TEST_CASE("a job is not answered as missing if that can't be stored") {
  MissingJobFixture f;
  for (int i = 0; i < 8; ++i) {
    f.log.log.InjectFault(AppendFault::kRefuse);
  }
  CHECK_FALSE(f.FindState(kJob).known);
}

}  // namespace azurespur::cell
