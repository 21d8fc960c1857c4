#include "log_tail.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "fake_log.h"

namespace azurespur::cell {

namespace {

struct TailFixture {
  void Append(const std::string& record) {
    log.topics["t"].records.push_back(record);
  }

  // Lets all answers arrive and be handled.
  void RunUntilIdle() {
    while (log.waiting() > 0) {
      log.DeliverResponses();
      while (auto mail = mailbox.Pop()) {
        (*mail)();
      }
    }
  }

  FakeLog log;
  base::Mailbox mailbox{64};
  FakeClock clock;
  std::vector<std::string> applied;
  bool blocked = false;
  LogTiming timing{base::Millis{500}};
  LogTail tail{log,
               mailbox,
               clock,
               "t",
               timing,
               [this](std::string_view record) {
                 if (blocked) {
                   return false;
                 }
                 applied.emplace_back(record);
                 return true;
               }};
};

}  // namespace

TEST_CASE("a tail applies records in order and once") {
  TailFixture f;
  f.Append("a");
  f.Append("b");
  f.tail.Poll();
  f.RunUntilIdle();
  f.tail.Poll();
  f.RunUntilIdle();
  CHECK(f.applied == std::vector<std::string>{"a", "b"});
  CHECK(f.tail.next() == 2);
  CHECK(f.tail.caught_up());
}

TEST_CASE(
    "a notice that comes while a read is in flight is not counted twice") {
  TailFixture f;
  f.Append("a");
  f.Append("b");
  f.tail.Poll();
  const std::vector<std::string> notice = {"a", "b"};
  f.tail.AddRecords(0, notice);
  f.RunUntilIdle();
  CHECK(f.applied == std::vector<std::string>{"a", "b"});
  CHECK(f.tail.next() == 2);
  f.Append("c");
  f.tail.Poll();
  f.RunUntilIdle();
  CHECK(f.applied.back() == "c");
  CHECK(f.tail.next() == 3);
}

TEST_CASE("a notice after a gap makes the tail read") {
  TailFixture f;
  f.Append("a");
  f.Append("b");
  const std::vector<std::string> notice = {"b"};
  f.tail.AddRecords(1, notice);
  CHECK(f.applied.empty());
  f.RunUntilIdle();
  CHECK(f.applied == std::vector<std::string>{"a", "b"});
}

TEST_CASE("a record that has to wait is applied by a later read") {
  TailFixture f;
  f.Append("a");
  f.blocked = true;
  f.tail.Poll();
  f.RunUntilIdle();
  CHECK(f.tail.next() == 0);
  f.blocked = false;
  f.tail.Poll();
  f.RunUntilIdle();
  CHECK(f.applied == std::vector<std::string>{"a"});
}

// Pattern: the log was away for all; on its return the leader's append that
// waits must not lose against a follower that counts the outage as silence.
TEST_CASE("a tail knows since when the log is reachable again") {
  TailFixture f;
  f.tail.Poll();
  f.RunUntilIdle();
  f.log.readable = false;
  f.clock.now += base::Millis{1000};
  f.tail.Poll();
  f.RunUntilIdle();
  f.log.readable = true;
  f.clock.now += base::Millis{4000};
  const base::MonoTime back = f.clock.now;
  f.tail.Poll();
  f.RunUntilIdle();
  f.clock.now += base::Millis{100};
  f.tail.Poll();
  f.RunUntilIdle();
  CHECK(f.tail.reachable_since() == back);
}

TEST_CASE("a poll tells whether the read that it asked for succeeded") {
  TailFixture f;
  std::vector<bool> results;
  f.log.readable = false;
  f.tail.Poll([&](bool ok) { results.push_back(ok); });
  f.RunUntilIdle();
  f.log.readable = true;
  f.tail.Poll([&](bool ok) { results.push_back(ok); });
  f.RunUntilIdle();
  CHECK(results == std::vector<bool>{false, true});
}

}  // namespace azurespur::cell
