// Records that another VM hands on to this one, by datagrams that arrive more
// than once.

#include <doctest/doctest.h>

#include <string>
#include <variant>
#include <vector>

#include "submission_fixture.h"
#include "wire/codec.h"

namespace azurespur::cell {

namespace {

using base::Millis;

struct ForwardCopiesFixture : SubmissionFixture {
  // One copy of the datagram by which another VM hands on the submission.
  void DeliverCopy() {
    const ForwardedIntake forward{
        kId, jobs::EncodeIntake(jobs::ReceivedSubmission{MakeSubmission(), 0}),
        kTimeout.count(), "10.0.0.3:1"};
    datagrams.deliver(wire::Encode(Message{forward}));
    node.RunPending();
  }

  // The outcomes told to the sender, in order.
  std::vector<StoreOutcome> Told() const {
    std::vector<StoreOutcome> told;
    for (const std::string& bytes : datagrams.sent) {
      const auto message = wire::Decode<Message>(bytes);
      REQUIRE(base::Ok(message));
      if (const auto* answer =
              std::get_if<ForwardedOutcome>(&base::Value(message))) {
        CHECK(answer->id == kId);
        told.push_back(answer->outcome);
      }
    }
    return told;
  }

  size_t StoredRecords() { return Topic(kIntakeTopic).size(); }

  static constexpr uint64_t kId = 92;
};

using Outcomes = std::vector<StoreOutcome>;

}  // namespace

// Guards against "not stored" for the second copy of a datagram while the
// append of the first copy is open: the sender's caller hears that the job
// never runs.
TEST_CASE("a copy isn't refused while the first one's append is open") {
  ForwardCopiesFixture f;
  // The first copy's append is carried out, the second one's is refused.
  f.log.log.InjectFault(AppendFault::kLoseResponse);
  f.InjectFaults(AppendFault::kRefuse);
  f.DeliverCopy();
  f.DeliverCopy();
  f.Pass(ForwardCopiesFixture::kTimeout + Millis{100});
  REQUIRE_FALSE(f.Told().empty());
  for (const StoreOutcome outcome : f.Told()) {
    CHECK(outcome != StoreOutcome::kNotStored);
  }
}

// Guards against the same by the answer to a copy that arrives while appends
// fail, before the first copy's append is answered.
TEST_CASE("a copy that arrives while an append is open causes no second one") {
  ForwardCopiesFixture f;
  const int appends = f.log.log.appends;
  f.DeliverCopy();
  f.DeliverCopy();
  CHECK(f.log.log.appends == appends + 1);
  f.Pass(Millis{100});
  CHECK(f.Told() == Outcomes{StoreOutcome::kStored});
  CHECK(f.StoredRecords() == 1);
}

// Guards against a refused job that runs since a late copy is stored.
TEST_CASE("a late copy of a refused record isn't stored") {
  ForwardCopiesFixture f;
  f.InjectFaults(AppendFault::kRefuse);
  f.DeliverCopy();
  f.Pass(ForwardCopiesFixture::kTimeout + Millis{100});
  REQUIRE(f.Told() == Outcomes{StoreOutcome::kNotStored});
  f.log.log.ClearFaults();
  f.Pass(Millis{10000});
  f.DeliverCopy();
  f.Pass(Millis{1000});
  CHECK(f.Told() ==
        Outcomes{StoreOutcome::kNotStored, StoreOutcome::kNotStored});
  CHECK(f.StoredRecords() == 0);
}

// Guards against a sender that loses the one answer: its retry gets it again.
TEST_CASE("a copy of a stored record is answered as stored") {
  ForwardCopiesFixture f;
  f.DeliverCopy();
  f.Pass(Millis{100});
  f.InjectFaults(AppendFault::kRefuse);
  f.DeliverCopy();
  f.Pass(Millis{1000});
  CHECK(f.Told() == Outcomes{StoreOutcome::kStored, StoreOutcome::kStored});
  CHECK(f.StoredRecords() == 1);
}

}  // namespace azurespur::cell
