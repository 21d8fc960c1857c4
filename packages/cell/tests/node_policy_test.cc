#include <doctest/doctest.h>

#include <memory>

#include "node_fixture.h"
#include "wire/codec.h"

namespace azurespur::cell {

TEST_CASE("a policy is current as of when its last answered poll was sent") {
  NodeFixture f;
  f.node.RunPending();
  CHECK_FALSE(f.node.policy_as_of());
  const base::MonoTime first = f.clock.now;
  f.clock.now += base::Millis{900};
  f.policy.Answer(std::make_shared<const jobs::CellPolicy>());
  CHECK(f.node.policy_as_of() == first);
  // The next poll fails, so the one after it is sent after a delay.
  f.node.RunPending();
  f.clock.now += base::Millis{900};
  f.policy.Answer(base::Error{base::ErrorCode::kUnavailable, "canned"});
  CHECK(f.node.policy_as_of() == first);
  f.node.RunPending();
  f.clock.now += base::Millis{1000};
  f.node.RunPending();
  const base::MonoTime third = f.clock.now;
  f.clock.now += base::Millis{900};
  f.policy.Answer(std::make_shared<const jobs::CellPolicy>());
  CHECK(f.node.policy_as_of() == third);
}

namespace {

std::shared_ptr<const jobs::CellPolicy> MakePolicy(int64_t version) {
  auto policy = std::make_shared<jobs::CellPolicy>();
  policy->version = version;
  return policy;
}

}  // namespace

// Guards against a VM that the log turns away and that doesn't learn of a newer
// policy.
TEST_CASE("a policy is out of date once the leader tells of a newer one") {
  NodeFixture f;
  const auto tell = [&f](int64_t version) {
    f.datagrams.deliver(
        wire::Encode(Message{PolicyNotice{NodeFixture::kOtherEpoch, version}}));
    f.node.RunPending();
  };
  f.node.RunPending();
  f.policy.Answer(MakePolicy(5));
  f.node.RunPending();
  tell(5);
  CHECK_FALSE(f.node.policy_outdated_since());
  tell(4);
  CHECK_FALSE(f.node.policy_outdated_since());
  const base::MonoTime told = f.clock.now;
  tell(8);
  CHECK(f.node.policy_outdated_since() == told);
  f.clock.now += base::Millis{1000};
  tell(8);
  CHECK(f.node.policy_outdated_since() == told);
  f.policy.Answer(MakePolicy(8));
  f.node.RunPending();
  CHECK_FALSE(f.node.policy_outdated_since());
}

TEST_CASE("a leader tells its followers the version of its policy") {
  NodeFixture f;
  f.node.RunPending();
  f.policy.Answer(MakePolicy(5));
  f.StoreWork(
      jobs::LeaderRecord{NodeFixture::kOtherEpoch, "vm-b", "10.0.0.2:1"});
  f.Pass(base::Millis{300});
  f.LetNodeLead();
  FollowerHeartbeat heartbeat;
  heartbeat.vm = "vm-b";
  heartbeat.address = "10.0.0.2:1";
  int64_t told = 0;
  for (int i = 0; i < 15; ++i) {
    f.datagrams.deliver(wire::Encode(Message{heartbeat}));
    f.PassAlone(base::Millis{100});
  }
  for (const std::string& bytes : f.datagrams.sent) {
    const auto message = wire::Decode<Message>(bytes);
    REQUIRE(base::Ok(message));
    if (const auto* notice = std::get_if<PolicyNotice>(&base::Value(message))) {
      told = notice->version;
    }
  }
  CHECK(told == 5);
}

}  // namespace azurespur::cell
