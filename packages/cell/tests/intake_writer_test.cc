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

  void RunMail() {
    while (auto mail = mailbox.Pop()) {
      (*mail)();
    }
  }

  void RunUntilIdle() {
    while (log.waiting() > 0) {
      log.DeliverResponses();
      RunMail();
    }
  }

  std::vector<std::string>& records() { return log.topics["t"].records; }

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
                      "vm",
                      timing,
                      [this](int64_t, const std::vector<std::string>& records) {
                        stored += static_cast<int64_t>(records.size());
                      }};
};

// Another life of the fixture's VM, which starts `later`.
struct LifeFixture {
  LifeFixture(WriterFixture& former, Millis later)
      : clock(AdvancedClock(former.clock, later)),
        writer(former.log,
               former.mailbox,
               clock,
               "t",
               "vm",
               timing,
               [](int64_t, const std::vector<std::string>&) {}) {}

  static FakeClock AdvancedClock(FakeClock clock, Millis by) {
    clock.now += by;
    return clock;
  }

  FakeClock clock;
  LogTiming timing{Millis{500}};
  IntakeWriter writer;
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

// Guards against a record that is stored twice by a repeat whose first try was
// late, or under a number that other records have.
TEST_CASE("a repeated append stores its records once") {
  WriterFixture f;
  f.log.InjectFault(AppendFault::kLate);
  f.Store("r");
  f.writer.OnLogContact(f.clock.now);
  f.RunUntilIdle();
  CHECK(f.outcomes == std::vector<StoreOutcome>{StoreOutcome::kStored});
  f.Store("s");
  f.RunUntilIdle();
  f.log.CarryOutLate();
  CHECK(f.records() == std::vector<std::string>{"r", "s"});
}

// Guards against a submission that is told as uncertain, though the log works:
// it keeps the answers of few appends, and others came between.
TEST_CASE("a repeat whose number the log has forgotten is a new append") {
  WriterFixture f;
  f.log.InjectFault(AppendFault::kLoseResponse);
  f.Store("r");
  f.writer.OnLogContact(f.clock.now);
  f.log.topics["t"].producers["vm.0"].recent.clear();
  f.RunUntilIdle();
  CHECK(f.outcomes == std::vector<StoreOutcome>{StoreOutcome::kStored});
  CHECK_FALSE(f.writer.failing());
  CHECK(f.records() == std::vector<std::string>{"r", "r"});
}

// Guards against a record whose caller heard nothing and left, and that is
// stored after all records that this VM stored later.
TEST_CASE("an abandoned append is not stored after a later one of its lane") {
  WriterFixture f;
  f.log.InjectFault(AppendFault::kLate);
  f.Store("r");
  f.clock.now += Millis{500};
  f.RunUntilIdle();
  REQUIRE(f.outcomes == std::vector<StoreOutcome>{StoreOutcome::kUnknown});
  f.Store("s");
  f.RunUntilIdle();
  CHECK(f.log.CarryOutLate() == 0);
  CHECK(f.records() == std::vector<std::string>{"s"});
}

// Guards against a caller that waits beyond its deadline for a repeat that is
// not made, as a refusal stops all appends for a while.
TEST_CASE("a record whose repeat waits ends as unknown at its deadline") {
  WriterFixture f;
  f.log.InjectFault(AppendFault::kRefuse);
  f.log.InjectFault(AppendFault::kNone);
  f.log.InjectFault(AppendFault::kLate);
  f.Store("refused");
  f.Store("stored");
  f.writer.Store("late", f.clock.now + Millis{50},
                 [&f](StoreOutcome outcome) { f.outcomes.push_back(outcome); });
  f.writer.OnLogContact(f.clock.now);
  f.log.DeliverResponses();
  f.RunMail();
  CHECK(f.outcomes == std::vector<StoreOutcome>{StoreOutcome::kStored});
  CHECK(f.log.waiting() == 0);
  f.clock.now += Millis{50};
  f.writer.Tick(f.clock.now);
  CHECK(f.outcomes == std::vector<StoreOutcome>{StoreOutcome::kStored,
                                                StoreOutcome::kUnknown});
}

// Guards against a submission of a VM's former life that is stored after the
// next life has told that it can't be.
TEST_CASE("a new life fences all appends of the former life") {
  WriterFixture f;
  for (int i = 0; i < 4; ++i) {
    f.log.InjectFault(AppendFault::kLate);
    f.Store("r" + std::to_string(i));
  }
  LifeFixture next(f, Millis{1});
  next.writer.Tick(f.clock.now);
  CHECK(f.log.waiting() == 4);
  next.writer.OnLogContact(f.clock.now);
  next.writer.Tick(f.clock.now);
  CHECK(f.log.waiting() == 5);
  CHECK_FALSE(next.writer.former_life_fenced());
  f.RunUntilIdle();
  CHECK(next.writer.former_life_fenced());
  CHECK(f.log.CarryOutLate() == 0);
  CHECK(f.records().empty());
  const int appends = f.log.appends;
  next.writer.Tick(f.clock.now);
  CHECK(f.log.appends == appends);
}

// Guards against a VM that takes its former life for fenced, as one of its
// lanes is, or as the log refused.
TEST_CASE("a former life is not fenced while a lane's fencing has no outcome") {
  WriterFixture f;
  LifeFixture next(f, Millis{1});
  next.writer.OnLogContact(f.clock.now);
  for (const AppendFault fault :
       {AppendFault::kLoseRequest, AppendFault::kLate, AppendFault::kRefuse}) {
    f.log.InjectFault(fault);
    next.writer.Tick(f.clock.now);
    f.RunUntilIdle();
    CHECK_FALSE(next.writer.former_life_fenced());
    CHECK_FALSE(next.writer.failing());
    f.clock.now += Millis{1000};
  }
  for (int i = 0; i < 4; ++i) {
    next.writer.Tick(f.clock.now);
    f.RunUntilIdle();
  }
  CHECK(next.writer.former_life_fenced());
}

// Guards against a process that was paused, and stores or refuses wrongly once
// its successor has started.
TEST_CASE("a life that has a successor stores nothing more") {
  WriterFixture f;
  f.Store("a");
  f.RunUntilIdle();
  f.log.InjectFault(AppendFault::kLate);
  f.Store("b");
  f.clock.now += Millis{10};
  f.writer.OnLogContact(f.clock.now);
  LifeFixture next(f, Millis{1});
  next.writer.OnLogContact(f.clock.now);
  for (int i = 0; i < 5; ++i) {
    next.writer.Tick(f.clock.now);
    f.RunUntilIdle();
  }
  REQUIRE(next.writer.former_life_fenced());
  CHECK(f.outcomes == std::vector<StoreOutcome>{StoreOutcome::kStored,
                                                StoreOutcome::kUnknown});
  f.Store("c");
  f.RunUntilIdle();
  CHECK(f.outcomes.back() == StoreOutcome::kNotStored);
  CHECK(f.writer.failing());
  CHECK(f.log.CarryOutLate() == 0);
  CHECK(f.records() == std::vector<std::string>{"a"});
  CHECK_FALSE(next.writer.failing());
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
