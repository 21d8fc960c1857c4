// Two streams read over one narrow link, as a VM does when it starts late.

#include <doctest/doctest.h>

#include <string>
#include <string_view>
#include <vector>

#include "log_tail.h"
#include "slow_link_log.h"

namespace azurespur::cell {

namespace {

using base::Millis;

constexpr Millis kStep{10};
constexpr Millis kPollInterval{60};
// 10 Mbit/s, less 1 Mbit/s of datagrams from peers.
constexpr double kNarrowLink = 1'250'000 - 125'000;
constexpr size_t kIntakeRecords = 5000;
constexpr size_t kIntakeRecordBytes = 400;
constexpr size_t kWorkRecords = 69000;
constexpr size_t kWorkRecordBytes = 100;

struct SlowLinkFixture {
  explicit SlowLinkFixture(double bytes_per_second) {
    log.bytes_per_second = bytes_per_second;
    log.topics["intake"].assign(kIntakeRecords,
                                std::string(kIntakeRecordBytes, 'i'));
    log.topics["work"].assign(kWorkRecords, std::string(kWorkRecordBytes, 'w'));
  }

  static void PollIfIdle(LogTail& tail, base::MonoTime now) {
    if (!tail.reading() && now >= tail.last_attempt() + kPollInterval) {
      tail.Poll();
    }
  }

  void RunFor(Millis duration) {
    const base::MonoTime end = clock.now + duration;
    while (clock.now < end) {
      PollIfIdle(intake, clock.now);
      PollIfIdle(work, clock.now);
      log.Advance(kStep);
      while (auto mail = mailbox.Pop()) {
        (*mail)();
      }
      slow_seen = slow_seen || timing.IsSlow();
    }
  }

  FakeClock clock;
  SlowLinkLog log{clock};
  base::Mailbox mailbox{64};
  LogTiming timing{Millis{500}};
  bool slow_seen = false;
  base::Metrics metrics;
  LogTail intake{log,
                 mailbox,
                 clock,
                 "intake",
                 timing,
                 metrics,
                 [](std::string_view) { return true; }};
  LogTail work{log,
               mailbox,
               clock,
               "work",
               timing,
               metrics,
               [](std::string_view) { return true; }};
};

}  // namespace

// A read asked for 1 MB and had 500 ms: on 10 Mbit/s it never finished, and was
// repeated from the same offset for ever.
TEST_CASE("a VM with 10 Mbit/s catches up with two long streams") {
  SlowLinkFixture f(kNarrowLink);
  f.RunFor(Millis{12000});  // 8.9 MB take 7.9 s.
  CHECK(f.intake.caught_up());
  CHECK(f.work.caught_up());
  CHECK_FALSE(f.work.failing());
}

TEST_CASE("each two seconds of reading on a narrow link apply records") {
  SlowLinkFixture f(kNarrowLink / 5);
  for (int i = 0; i < 5; ++i) {
    const int64_t intake = f.intake.next();
    const int64_t work = f.work.next();
    f.RunFor(Millis{2000});
    CHECK(f.intake.next() > intake);
    CHECK(f.work.next() > work);
  }
}

// The length of a transfer was taken for the log's latency, so that the VM sent
// its submissions through the leader.
TEST_CASE("a large page on a narrow link is not taken for a slow log") {
  SlowLinkFixture f(kNarrowLink * 4);
  f.RunFor(Millis{3000});
  CHECK_FALSE(f.slow_seen);
}

TEST_CASE("a silent connection is noticed after 500 ms, also amid a page") {
  SlowLinkFixture f(kNarrowLink);
  f.RunFor(Millis{30});
  f.log.bytes_per_second = 0;
  f.RunFor(Millis{450});
  CHECK_FALSE(f.work.failing());
  f.RunFor(Millis{100});
  CHECK(f.work.failing());
  CHECK(f.intake.failing());
  f.log.bytes_per_second = kNarrowLink;
  f.RunFor(Millis{1000});
  CHECK_FALSE(f.work.failing());
  CHECK_FALSE(f.intake.failing());
}

// A VM that had read the first page answered that a job doesn't exist which
// came later in the stream. Its cancellation was told as done, and the job ran.
TEST_CASE("a poll does not succeed before the end of the stream is read") {
  SlowLinkFixture f(kNarrowLink);
  std::vector<bool> results;
  f.intake.Poll([&results](bool ok) { results.push_back(ok); });
  f.RunFor(Millis{500});
  CHECK_FALSE(f.intake.caught_up());
  CHECK(results == std::vector<bool>{false});
  f.RunFor(Millis{12000});
  REQUIRE(f.intake.at_end());
  f.intake.Poll([&results](bool ok) { results.push_back(ok); });
  f.RunFor(Millis{500});
  CHECK(results == std::vector<bool>{false, true});
}

TEST_CASE("a wide link carries few and large pages") {
  SlowLinkFixture f(kNarrowLink * 20);
  f.RunFor(Millis{2000});
  CHECK(f.work.caught_up());
  CHECK(f.log.reads < 100);
}

}  // namespace azurespur::cell
