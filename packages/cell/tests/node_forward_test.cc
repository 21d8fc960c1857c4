#include <doctest/doctest.h>

#include <variant>

#include "node_fixture.h"
#include "wire/codec.h"

namespace azurespur::cell {

namespace {

// The number under which a VM that can't append forwards its first submission
// after its start; 0 if it forwards none.
uint64_t FirstForwardedId() {
  NodeFixture f;
  f.StoreWork(
      jobs::LeaderRecord{NodeFixture::kOtherEpoch, "vm-b", "10.0.0.2:1"});
  f.Pass(base::Millis{300});
  LeaderHeartbeat heartbeat;
  heartbeat.leader = {NodeFixture::kOtherEpoch, "10.0.0.2:1"};
  heartbeat.log_ok = true;
  f.datagrams.deliver(wire::Encode(Message{heartbeat}));
  f.log.log.InjectFault(AppendFault::kLoseRequest);
  jobs::JobSpec spec;
  spec.id = 1;
  spec.queue = "q";
  f.node.Submit(spec, f.clock.now + base::Millis{2000}, [](IntakeOutcome) {});
  f.node.RunPending();
  f.Pass(base::Millis{60});
  for (const std::string& bytes : f.datagrams.sent) {
    const auto message = wire::Decode<Message>(bytes);
    REQUIRE(base::Ok(message));
    if (const auto* forward =
            std::get_if<ForwardedIntake>(&base::Value(message))) {
      return forward->id;
    }
  }
  return 0;
}

}  // namespace

// Guards against 2xx for a submission that is not stored: the leader's outcome
// for a submission from before a VM's restart arrived under the number of a
// later one.
TEST_CASE("a restarted VM numbers the records that it forwards differently") {
  const uint64_t before = FirstForwardedId();
  const uint64_t after = FirstForwardedId();
  CHECK(before != 0);
  CHECK(after != 0);
  CHECK(before != after);
}

}  // namespace azurespur::cell
