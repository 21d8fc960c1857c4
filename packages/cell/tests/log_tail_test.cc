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

  // Delivers and handles responses until none are left.
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
  base::Metrics metrics;
  LogTail tail{log,
               mailbox,
               clock,
               "t",
               timing,
               metrics,
               [this](std::string_view record) {
                 if (blocked) {
                   return false;
                 }
                 applied.emplace_back(record);
                 return true;
               }};
};

// Queues mail until the ring refuses it.
void FillMailbox(base::Mailbox& mailbox) {
  while (mailbox.Push([] {})) {
  }
}

}  // namespace

TEST_CASE("a tail applies each record once, in order") {
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

TEST_CASE("records that arrive while a read is in flight are applied once") {
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

TEST_CASE("records after a gap make the tail read") {
  TailFixture f;
  f.Append("a");
  f.Append("b");
  const std::vector<std::string> notice = {"b"};
  f.tail.AddRecords(1, notice);
  CHECK(f.applied.empty());
  f.RunUntilIdle();
  CHECK(f.applied == std::vector<std::string>{"a", "b"});
}

TEST_CASE("a record that can't be applied yet is applied by a later read") {
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

// While a VM starts, records of the work stream wait for the intake stream; the
// same page was read again and again over the link that the intake needed.
TEST_CASE("records that can't be applied yet are not read again") {
  TailFixture f;
  f.Append("a");
  f.Append("b");
  f.blocked = true;
  f.tail.Poll();
  f.RunUntilIdle();
  f.tail.Poll();
  f.RunUntilIdle();
  CHECK(f.log.reads == 1);
  f.blocked = false;
  f.Append("c");
  f.tail.Poll();
  f.RunUntilIdle();
  CHECK(f.log.last_from == 2);
  CHECK(f.applied == std::vector<std::string>{"a", "b", "c"});
}

TEST_CASE("records that came by another path don't count as kept") {
  TailFixture f;
  f.Append("a");
  f.Append("b");
  f.blocked = true;
  f.tail.Poll();
  f.RunUntilIdle();
  f.blocked = false;
  const std::vector<std::string> notice = {"a", "b"};
  f.tail.AddRecords(0, notice);
  f.tail.Poll();
  f.RunUntilIdle();
  CHECK(f.applied == std::vector<std::string>{"a", "b"});
  CHECK(f.tail.at_end());
}

// The log is unreachable for all VMs. When it is back, a follower must not
// count the outage as leader timeout and win an election against the leader's
// pending append.
TEST_CASE("a tail reports since when the log is reachable again") {
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

TEST_CASE("a poll reports whether its read succeeded") {
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

// A full mailbox refused the result of a read, so that the tail waited for it
// for ever and the stream was never read again.
TEST_CASE("the result of a read is not lost while the mailbox is full") {
  TailFixture f;
  f.Append("a");
  f.tail.Poll();
  FillMailbox(f.mailbox);
  f.RunUntilIdle();
  CHECK_FALSE(f.tail.reading());
  f.tail.Poll();
  f.RunUntilIdle();
  CHECK(f.applied == std::vector<std::string>{"a"});
}

}  // namespace azurespur::cell
