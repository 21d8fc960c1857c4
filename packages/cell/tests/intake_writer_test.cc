#include "intake_writer.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "fake_log.h"

namespace azurespur::cell {

namespace {

using base::Millis;

struct WriterFixture {
  void Store(const std::string& record) {
    writer.Store(record, clock.now + Millis{3000},
                 [this](StoreOutcome outcome) { outcomes.push_back(outcome); });
  }

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
  std::vector<StoreOutcome> outcomes;
  int64_t stored = 0;
  LogTiming timing{Millis{500}};
  IntakeWriter writer{log,
                      mailbox,
                      clock,
                      "t",
                      timing,
                      [this](int64_t, const std::vector<std::string>& records) {
                        stored += static_cast<int64_t>(records.size());
                      }};
};

}  // namespace

TEST_CASE("records that arrive together share appends") {
  WriterFixture f;
  for (int i = 0; i < 10; ++i) {
    f.Store("r");
  }
  f.RunUntilIdle();
  CHECK(f.stored == 10);
  CHECK(f.log.appends <= 7);
  CHECK(f.outcomes == std::vector<StoreOutcome>(10, StoreOutcome::kStored));
}

// The log needs a tenth of a second per append and handles one at a time.
TEST_CASE("a slow log gets one append at a time, with all queued records") {
  WriterFixture f;
  f.timing.AddLatency(Millis{240});
  for (int i = 0; i < 10; ++i) {
    f.Store("r");
  }
  CHECK(f.log.appends == 1);
  f.RunUntilIdle();
  CHECK(f.stored == 10);
  CHECK(f.log.appends == 2);
}

// The log loses some responses but gives others.
TEST_CASE(
    "an append whose response is lost is retried while the log responds") {
  WriterFixture f;
  f.log.InjectFault(AppendFault::kLoseResponse);
  f.Store("r");
  f.writer.OnLogContact(f.clock.now);
  f.RunUntilIdle();
  CHECK(f.outcomes == std::vector<StoreOutcome>{StoreOutcome::kStored});
}

// This VM is cut off from the log.
TEST_CASE("an unreachable log is reported at once with an unknown outcome") {
  WriterFixture f;
  f.log.InjectFault(AppendFault::kLoseRequest);
  f.Store("r");
  f.clock.now += Millis{500};
  f.RunUntilIdle();
  CHECK(f.outcomes == std::vector<StoreOutcome>{StoreOutcome::kUnknown});
  CHECK(f.log.appends == 1);
}

TEST_CASE("while appends fail, most records are rejected without an append") {
  WriterFixture f;
  for (int i = 0; i < 2; ++i) {
    f.log.InjectFault(AppendFault::kLoseRequest);
    f.Store("r");
    f.clock.now += Millis{500};
    f.RunUntilIdle();
  }
  REQUIRE(f.writer.failing());
  f.outcomes.clear();
  f.log.InjectFault(AppendFault::kLoseRequest);
  f.clock.now += Millis{10};
  f.writer.OnLogContact(f.clock.now);
  f.Store("probe");
  for (int i = 0; i < 5; ++i) {
    f.Store("r");
  }
  CHECK(f.outcomes == std::vector<StoreOutcome>(5, StoreOutcome::kNotStored));
  f.RunUntilIdle();
  f.clock.now += Millis{400};
  f.writer.OnLogContact(f.clock.now);
  f.Store("r");
  f.RunUntilIdle();
  CHECK(f.outcomes.back() == StoreOutcome::kStored);
  CHECK_FALSE(f.writer.failing());
}

// Guards against callers that hear "unknown" instead of "not run", and can't
// come back, because their submissions probe a log that is out of reach.
TEST_CASE("nothing is appended while the log answers no read either") {
  WriterFixture f;
  for (int i = 0; i < 2; ++i) {
    f.log.InjectFault(AppendFault::kLoseRequest);
    f.Store("r");
    f.clock.now += Millis{500};
    f.RunUntilIdle();
  }
  REQUIRE(f.writer.failing());
  f.outcomes.clear();
  const int appends = f.log.appends;
  for (int i = 0; i < 20; ++i) {
    f.clock.now += Millis{300};
    f.Store("r");
  }
  CHECK(f.log.appends == appends);
  CHECK(f.outcomes == std::vector<StoreOutcome>(20, StoreOutcome::kNotStored));
  f.writer.OnLogContact(f.clock.now);
  f.Store("r");
  f.RunUntilIdle();
  CHECK(f.outcomes.back() == StoreOutcome::kStored);
}

TEST_CASE("a refused append is retried, then reported as not stored") {
  WriterFixture f;
  f.log.InjectFault(AppendFault::kRefuse);
  f.Store("r");
  f.RunUntilIdle();
  CHECK(f.outcomes.empty());
  f.clock.now += Millis{100};
  f.writer.Tick(f.clock.now);
  f.RunUntilIdle();
  CHECK(f.outcomes == std::vector<StoreOutcome>{StoreOutcome::kStored});
  for (int i = 0; i < 3; ++i) {
    f.log.InjectFault(AppendFault::kRefuse);
  }
  f.Store("r");
  f.clock.now += Millis{3000};
  f.RunUntilIdle();
  f.writer.Tick(f.clock.now);
  CHECK(f.outcomes.back() == StoreOutcome::kNotStored);
}

// Four appends of 256 KB take 840 ms at 10 Mbit/s and end at 500 ms. None of
// them would be stored, and their records were sent again in appends of that
// size.
TEST_CASE("all appends in flight fit through 10 Mbit/s before their timeout") {
  WriterFixture f;
  for (int i = 0; i < 400; ++i) {
    f.Store(std::string(4000, 'r'));
  }
  f.RunUntilIdle();
  CHECK(f.stored == 400);
  constexpr size_t kInFlight = 4;
  constexpr size_t kBytesIn500Ms = 625'000;
  CHECK(kInFlight * f.log.largest_append <= kBytesIn500Ms / 2);
}

// A full mailbox refused the results of appends, so that their callers got no
// answer and, after four of them, nothing was appended any more.
TEST_CASE("the result of an append is not lost while the mailbox is full") {
  WriterFixture f;
  f.Store("r");
  while (f.mailbox.Push([] {})) {
  }
  f.RunUntilIdle();
  CHECK(f.outcomes == std::vector<StoreOutcome>{StoreOutcome::kStored});
}

}  // namespace azurespur::cell
