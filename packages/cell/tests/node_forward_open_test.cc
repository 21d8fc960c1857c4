// Refusals of a job of which this VM appends a submission for another VM.

#include <doctest/doctest.h>

#include <string>
#include <variant>
#include <vector>

#include "submission_fixture.h"
#include "wire/codec.h"

namespace azurespur::cell {

namespace {

using base::Millis;

struct ForwardOpenFixture : SubmissionFixture {
  // Another VM hands on a submission of the job, as its `id`th record.
  void DeliverForward(uint64_t id) {
    const ForwardedIntake forward{
        id, jobs::EncodeIntake(jobs::ReceivedSubmission{MakeSubmission(), 0}),
        kTimeout.count(), "10.0.0.3:1"};
    datagrams.deliver(wire::Encode(Message{forward}));
    node.RunPending();
  }

  // What the other VM was told last.
  StoreOutcome LastTold() const {
    StoreOutcome last = StoreOutcome::kStored;
    for (const std::string& bytes : datagrams.sent) {
      const auto message = wire::Decode<Message>(bytes);
      REQUIRE(base::Ok(message));
      if (const auto* answer =
              std::get_if<ForwardedOutcome>(&base::Value(message))) {
        last = answer->outcome;
      }
    }
    return last;
  }
};

}  // namespace

// Guards against "never runs" to a caller of this VM, whose earlier request was
// handed on to it by another VM and has an append without an answer.
TEST_CASE("a job whose handed-on append is open isn't refused") {
  ForwardOpenFixture f;
  SUBCASE("while the append waits for its answer") {
    f.log.log.InjectFault(AppendFault::kLoseRequest);
    f.DeliverForward(1);
  }
  SUBCASE("after it was left without an answer") {
    f.InjectFaults(AppendFault::kLoseRequest);
    f.DeliverForward(1);
    f.Pass(ForwardOpenFixture::kTimeout + Millis{100});
    REQUIRE(f.LastTold() == StoreOutcome::kUnknown);
    f.log.log.ClearFaults();
  }
  f.InjectFaults(AppendFault::kRefuse);
  CHECK(f.Submit() == IntakeOutcome::kUnknown);
  f.log.log.ClearFaults();
  CHECK(f.Refuse() == IntakeOutcome::kUnknown);
}

// Guards against the same where the repeat is handed on as well, or reaches the
// other VM after this one.
TEST_CASE("a handed-on job whose earlier append is open isn't refused") {
  ForwardOpenFixture f;
  SUBCASE("sent for another VM") {
    f.InjectFaults(AppendFault::kLoseRequest);
    f.DeliverForward(1);
    f.Pass(ForwardOpenFixture::kTimeout + Millis{100});
    f.log.log.ClearFaults();
  }
  SUBCASE("sent for a caller of this VM") {
    REQUIRE(f.SubmitUnanswered() == IntakeOutcome::kUnknown);
  }
  f.InjectFaults(AppendFault::kRefuse);
  f.DeliverForward(2);
  f.Pass(ForwardOpenFixture::kTimeout + Millis{100});
  CHECK(f.LastTold() == StoreOutcome::kUnknown);
}

// Guards against uncertainty without a reason: another VM could serve a caller
// that hears of the refusal.
TEST_CASE("a handed-on job without an earlier append is refused") {
  ForwardOpenFixture f;
  f.InjectFaults(AppendFault::kRefuse);
  f.DeliverForward(1);
  f.Pass(ForwardOpenFixture::kTimeout + Millis{100});
  CHECK(f.LastTold() == StoreOutcome::kNotStored);
}

}  // namespace azurespur::cell
