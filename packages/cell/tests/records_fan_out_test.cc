#include "records_fan_out.h"

#include <doctest/doctest.h>

#include <string>
#include <variant>
#include <vector>

#include "fake_datagrams.h"
#include "fake_log.h"
#include "wire/codec.h"

namespace azurespur::cell {

namespace {

using base::Millis;
using base::MonoTime;

constexpr MonoTime kStart{Millis{100000}};
constexpr size_t kPeers = 30;
constexpr int kSeconds = 5;
constexpr size_t kRecordBytes = 100;
const LeaderInfo kLeader{7, "10.0.0.1:1"};

std::vector<std::string> Addresses(size_t count) {
  std::vector<std::string> addresses;
  for (size_t i = 0; i < count; ++i) {
    addresses.push_back("10.0.1." + std::to_string(i) + ":1");
  }
  return addresses;
}

std::vector<std::string> Records(size_t count, size_t bytes) {
  return std::vector<std::string>(count, std::string(bytes, 'x'));
}

struct Received {
  int64_t work_next = 0;
  int64_t intake_next = 0;
  size_t with_contents = 0;  // Records.
  size_t notices = 0;
  bool gap = false;
};

void Receive(const RecordsSegment& segment, Received& received) {
  int64_t& next = segment.stream == Stream::kWork ? received.work_next
                                                  : received.intake_next;
  received.gap = received.gap || segment.offset != next;
  next = segment.end;
  received.with_contents += segment.records.size();
}

Received ReceiveAll(const std::vector<std::string>& datagrams) {
  Received received;
  for (const std::string& bytes : datagrams) {
    const auto message = wire::Decode<Message>(bytes);
    REQUIRE(base::Ok(message));
    const auto* notice = std::get_if<RecordsNotice>(&base::Value(message));
    REQUIRE(notice != nullptr);
    CHECK(notice->leader.epoch == kLeader.epoch);
    ++received.notices;
    for (const RecordsSegment& segment : notice->segments) {
      Receive(segment, received);
    }
  }
  return received;
}

// A leader at the crest of the load: each 10 ms a batch of 15 work records and
// an intake record.
struct Crest {
  explicit Crest(double link_mbps)
      : sender(datagrams, metrics), fan_out(sender, link_mbps, metrics) {}

  void Play(Millis length) {
    const MonoTime end = now + length;
    while (now < end) {
      if ((now - kStart) % Millis{10} == Millis{0}) {
        AddBatch();
      }
      fan_out.FlushIfDue(now, kLeader, peers);
      now += Millis{1};
    }
  }

  void AddBatch() {
    fan_out.Add(Stream::kIntake, intake_end, Records(1, kRecordBytes));
    fan_out.FlushIfDue(now, kLeader, peers);
    fan_out.Add(Stream::kWork, work_end, Records(15, kRecordBytes));
    fan_out.FlushIfDue(now, kLeader, peers);
    intake_end += 1;
    work_end += 15;
  }

  FakeDatagrams datagrams;
  base::Metrics metrics;
  PeerSender sender;
  RecordsFanOut fan_out;
  std::vector<std::string> peers = Addresses(kPeers);
  MonoTime now = kStart;
  int64_t intake_end = 0;
  int64_t work_end = 0;
};

}  // namespace

// At the crest the leader sent 6,000 datagrams a second and encoded each
// record once for each peer, on half a core.
TEST_CASE("the records of a crest go out in few datagrams, encoded once") {
  Crest crest(200);
  crest.Play(Millis{kSeconds * 1000});
  crest.fan_out.Flush(crest.now, kLeader, crest.peers);
  CHECK(crest.datagrams.count <= 1600 * kSeconds);
  const auto encoded = static_cast<size_t>(
      crest.metrics.GetCounter("azurespur_messages_encoded_total").Get());
  CHECK(encoded * kPeers == crest.datagrams.count);
  for (const std::string& peer : crest.peers) {
    const Received received = ReceiveAll(crest.datagrams.sent[peer]);
    CHECK_FALSE(received.gap);
    CHECK(received.work_next == crest.work_end);
    CHECK(received.intake_next == crest.intake_end);
    CHECK(received.with_contents ==
          static_cast<size_t>(crest.work_end + crest.intake_end));
  }
}

TEST_CASE("a record that comes alone is announced at once") {
  Crest crest(200);
  crest.fan_out.Add(Stream::kWork, 0, Records(1, kRecordBytes));
  crest.fan_out.FlushIfDue(kStart, kLeader, crest.peers);
  CHECK(crest.datagrams.count == kPeers);
}

// The narrow link of a leader was filled with records, so that its heartbeats
// and appends came late.
TEST_CASE("a link that can't carry the records carries announcements only") {
  Crest crest(10);
  crest.Play(Millis{1000});
  const size_t bytes_before = crest.datagrams.total_bytes;
  crest.datagrams.sent.clear();
  crest.Play(Millis{kSeconds * 1000});
  const size_t bytes = crest.datagrams.total_bytes - bytes_before;
  CHECK(bytes * 8 <= size_t{kSeconds} * 1'000'000);
  crest.fan_out.Flush(crest.now, kLeader, crest.peers);
  const Received received = ReceiveAll(crest.datagrams.sent[crest.peers[0]]);
  CHECK(received.with_contents == 0);
  CHECK(received.work_next == crest.work_end);
  CHECK(received.intake_next == crest.intake_end);
  // Each of them makes a peer read the log.
  CHECK(received.notices <= 6 * kSeconds);
}

TEST_CASE("a link that can carry the records again does so") {
  Crest crest(10);
  crest.Play(Millis{2000});
  crest.now += Millis{3000};
  crest.fan_out.Flush(crest.now, kLeader, crest.peers);
  crest.now += Millis{3000};
  crest.datagrams.sent.clear();
  crest.fan_out.Add(Stream::kWork, crest.work_end, Records(1, kRecordBytes));
  crest.fan_out.FlushIfDue(crest.now, kLeader, crest.peers);
  CHECK(ReceiveAll(crest.datagrams.sent[crest.peers[0]]).with_contents == 1);
}

// Guards against orders to workers that wait behind records for followers.
TEST_CASE("a link that others fill carries announcements only") {
  FakeClock clock;
  base::LinkQueue uplink(200, clock);
  FakeDatagrams datagrams;
  base::Metrics metrics;
  PeerSender sender(datagrams, metrics, &uplink);
  RecordsFanOut fan_out(sender, 200, metrics);
  const std::vector<std::string> peers = Addresses(1);
  const auto flush = [&](int64_t offset) {
    datagrams.sent.clear();
    fan_out.Add(Stream::kWork, offset, Records(1, kRecordBytes));
    fan_out.Flush(clock.now, kLeader, peers);
    return ReceiveAll(datagrams.sent[peers[0]]).with_contents;
  };
  CHECK(flush(0) == 1);
  uplink.Add(5 << 20);  // 0.2 s.
  CHECK(flush(1) == 0);
  clock.now += Millis{1500};
  CHECK(flush(2) == 1);
}

TEST_CASE("a link of unknown bandwidth is not limited") {
  Crest crest(0);
  crest.Play(Millis{2000});
  crest.fan_out.Flush(crest.now, kLeader, crest.peers);
  CHECK(ReceiveAll(crest.datagrams.sent[crest.peers[0]]).with_contents ==
        static_cast<size_t>(crest.work_end + crest.intake_end));
}

TEST_CASE("datagrams are counted by kind, and those not sent apart") {
  FakeDatagrams datagrams;
  base::Metrics metrics;
  PeerSender sender(datagrams, metrics);
  sender.SendToAll(Addresses(3), LeaderHeartbeat{});
  sender.Send("10.0.1.1:1", FollowerHeartbeat{});
  datagrams.full = true;
  sender.Send("10.0.1.1:1", FollowerHeartbeat{});
  const auto count = [&metrics](std::string_view name) {
    return metrics.GetCounter(name).Get();
  };
  CHECK(count("azurespur_datagrams_sent_total{kind=\"leader_heartbeat\"}") ==
        3);
  CHECK(count("azurespur_datagrams_sent_total{kind=\"follower_heartbeat\"}") ==
        1);
  CHECK(count("azurespur_datagrams_not_sent_total") == 1);
  CHECK(
      count("azurespur_datagram_bytes_sent_total{kind=\"leader_heartbeat\"}") >
      0);
}

}  // namespace azurespur::cell
