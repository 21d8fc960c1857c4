// What a node sends when its own link, or that of others, is narrow.

#include <doctest/doctest.h>

#include <set>
#include <string>
#include <variant>
#include <vector>

#include "node_fixture.h"
#include "wire/codec.h"

namespace azurespur::cell {

namespace {

using base::Millis;

template <typename Kind>
std::vector<Kind> SentOf(const std::vector<std::string>& datagrams) {
  std::vector<Kind> found;
  for (const std::string& bytes : datagrams) {
    const auto message = wire::Decode<Message>(bytes);
    REQUIRE(base::Ok(message));
    if (const auto* one = std::get_if<Kind>(&base::Value(message))) {
      found.push_back(*one);
    }
  }
  return found;
}

std::string PeerAddress(int number) {
  return "10.0.1." + std::to_string(number) + ":1";
}

void Deliver(NodeFixture& f, const Message& message) {
  f.datagrams.deliver(wire::Encode(message));
  f.node.RunPending();
}

}  // namespace

// Guards against a leader whose link is filled by the records that several VMs
// ask it for, because the store turns them away.
TEST_CASE("a VM that can't read the log asks other VMs in turn for records") {
  NodeFixture f;
  f.StoreWork(
      jobs::LeaderRecord{NodeFixture::kOtherEpoch, "vm-b", "10.0.0.2:1"});
  f.Pass(Millis{300});
  LeaderHeartbeat heartbeat;
  heartbeat.leader = {NodeFixture::kOtherEpoch, "10.0.0.2:1"};
  heartbeat.log_ok = true;
  heartbeat.peers = {"10.0.0.1:1", PeerAddress(1), PeerAddress(2),
                     PeerAddress(3)};
  Deliver(f, heartbeat);
  f.log.log.readable = false;
  f.Pass(Millis{1500});
  f.datagrams.sent.clear();
  f.datagrams.addresses.clear();
  RecordsSegment announced{Stream::kWork, 500, 501, {}};
  for (int i = 0; i < 400; ++i) {
    announced.end += 1;
    Deliver(f, heartbeat);
    Deliver(f, RecordsNotice{{announced}, heartbeat.leader});
    f.Pass(Millis{20});
  }
  std::set<std::string> asked;
  for (size_t i = 0; i < f.datagrams.sent.size(); ++i) {
    const auto one = SentOf<RecordsRequest>({f.datagrams.sent[i]});
    if (!one.empty()) {
      asked.insert(f.datagrams.addresses[i]);
    }
  }
  CHECK(asked == std::set<std::string>{"10.0.0.2:1", PeerAddress(1),
                                       PeerAddress(2), PeerAddress(3)});
}

TEST_CASE("a VM whose link is full leaves requests for records to others") {
  NodeFixture f;
  f.StoreWork(
      jobs::LeaderRecord{NodeFixture::kOtherEpoch, "vm-b", "10.0.0.2:1"});
  f.Pass(Millis{300});
  const RecordsRequest request{Stream::kWork, 0, PeerAddress(1)};
  f.datagrams.sent.clear();
  Deliver(f, request);
  CHECK(SentOf<RecordsNotice>(f.datagrams.sent).size() == 1);
  f.uplink.Add(50 << 10);
  f.datagrams.sent.clear();
  Deliver(f, request);
  CHECK(SentOf<RecordsNotice>(f.datagrams.sent).empty());
}

// The list of all followers in each heartbeat to each of them took a quarter of
// a link of 2 Mbit/s. Bound: a tenth.
TEST_CASE("the heartbeats of a leader leave a narrow link to its orders") {
  constexpr int kFollowers = 15;
  constexpr size_t kTenthOfLink = 25000;  // Bytes a second.
  constexpr size_t kHeaders = 42;
  NodeFixture f;
  f.StoreWork(
      jobs::LeaderRecord{NodeFixture::kOtherEpoch, "vm-b", "10.0.0.2:1"});
  f.Pass(Millis{300});
  f.LetNodeLead();
  for (int i = 0; i < kFollowers; ++i) {
    FollowerHeartbeat heartbeat;
    heartbeat.vm = "vm-" + std::to_string(i);
    heartbeat.address = PeerAddress(i);
    Deliver(f, heartbeat);
  }
  f.datagrams.sent.clear();
  f.PassAlone(Millis{1000});
  size_t bytes = 0;
  for (const std::string& datagram : f.datagrams.sent) {
    bytes += datagram.size() + kHeaders;
  }
  CHECK(f.datagrams.sent.size() >= size_t{kFollowers} * 3);
  CHECK(bytes < kTenthOfLink);
  const auto full = SentOf<LeaderHeartbeat>(f.datagrams.sent);
  REQUIRE_FALSE(full.empty());
  CHECK(full.back().peers.size() == kFollowers);
}

// Guards against a process that ends when another VM forwards a damaged record.
TEST_CASE("a forwarded record with impossible steps is refused") {
  NodeFixture f;
  jobs::JobSpec spec;
  spec.id = 7;
  spec.steps.resize(1);
  spec.steps[0].count = -1;
  ForwardedIntake forward;
  forward.id = 5;
  forward.record = jobs::EncodeIntake(spec);
  forward.wait_ms = 1000;
  forward.reply_to = PeerAddress(1);
  f.datagrams.sent.clear();
  Deliver(f, forward);
  const auto outcomes = SentOf<ForwardedOutcome>(f.datagrams.sent);
  REQUIRE(outcomes.size() == 1);
  CHECK(outcomes[0].id == 5);
  CHECK(outcomes[0].outcome == StoreOutcome::kNotStored);
}

}  // namespace azurespur::cell
