#include "snapshot_writer.h"

#include <doctest/doctest.h>

#include <memory>
#include <string>

#include "node_fixture.h"

namespace azurespur::cell {

namespace {

using base::Millis;

constexpr int64_t kManyRecords = 8000;
constexpr size_t kTwoParts = kMaxSnapshotPartBytes + 1;

struct WriterFixture {
  WriterFixture() { Run(); }

  CellSnapshot SnapshotAt(int64_t work_next, size_t bytes = kTwoParts) const {
    return {0, work_next, clock.WallMillis(), std::string(bytes, 'x')};
  }

  void Run(Millis duration = Millis{0}) {
    clock.now += duration;
    writer->Tick(clock.now);
    while (auto mail = mailbox.Pop()) {
      (*mail)();
    }
  }

  void BeginTerm(uint64_t epoch) {
    writer = std::make_shared<SnapshotWriter>(store, mailbox, clock, timing,
                                              metrics, epoch);
  }

  int64_t NewestStored() const {
    const auto newest = FindNewestSnapshot(store.values);
    return newest ? newest->snapshot.work_next : -1;
  }

  FakeClock clock;
  FakeSnapshotStore store;
  base::Mailbox mailbox{64};
  LogTiming timing{Millis{500}};
  base::Metrics metrics;
  std::shared_ptr<SnapshotWriter> writer =
      std::make_shared<SnapshotWriter>(store,
                                       mailbox,
                                       clock,
                                       timing,
                                       metrics,
                                       1);
};

}  // namespace

TEST_CASE("a snapshot is due after many records, and then stored whole") {
  WriterFixture f;
  f.writer->Write(f.SnapshotAt(1));
  f.Run();
  CHECK(f.NewestStored() == 1);
  CHECK_FALSE(f.writer->IsDue(0, kManyRecords));
  CHECK(f.writer->IsDue(0, kManyRecords + 1));
  f.writer->Write(f.SnapshotAt(kManyRecords + 1));
  f.Run();
  CHECK(f.NewestStored() == kManyRecords + 1);
}

// A quiet cell's log removes its records by age, too.
TEST_CASE("a snapshot is due after a minute with any record") {
  WriterFixture f;
  f.writer->Write(f.SnapshotAt(1));
  f.Run();
  f.Run(Millis{59000});
  CHECK_FALSE(f.writer->IsDue(0, 2));
  f.Run(Millis{1000});
  CHECK(f.writer->IsDue(0, 2));
  CHECK_FALSE(f.writer->IsDue(0, 1));
}

TEST_CASE(
    "a large snapshot is not due again before twice its size of records") {
  WriterFixture f;
  f.writer->Write(f.SnapshotAt(1, 1000000));
  f.Run();
  CHECK_FALSE(f.writer->IsDue(0, 2 * kManyRecords));
  CHECK(f.writer->IsDue(0, 2 * 1000000 / 64 + 1));
}

TEST_CASE("a refused part is sent again") {
  WriterFixture f;
  f.store.reachable = false;
  f.writer->Write(f.SnapshotAt(1));
  f.Run();
  CHECK(f.NewestStored() == -1);
  CHECK_FALSE(f.writer->IsDue(0, 10 * kManyRecords));
  f.store.reachable = true;
  f.Run(Millis{200});
  f.Run();
  CHECK(f.NewestStored() == 1);
}

// Two whole snapshots would take a VM that starts twice as long to read.
TEST_CASE("the older snapshot is removed once the newer one is whole") {
  WriterFixture f;
  f.writer->Write(f.SnapshotAt(1));
  f.Run();
  const size_t parts = f.store.values.size();
  f.BeginTerm(2);
  f.Run();
  f.writer->Write(f.SnapshotAt(kManyRecords + 1));
  f.Run();
  CHECK(f.store.values.size() == parts);
  CHECK(f.NewestStored() == kManyRecords + 1);
}

TEST_CASE("parts that a lost leader left are removed as well") {
  WriterFixture f;
  f.BeginTerm(2);
  f.store.values["0/7"] = std::string("part of nothing");
  f.Run();
  f.writer->Write(f.SnapshotAt(kManyRecords));
  f.Run();
  CHECK(f.store.values.count("0/7") == 0);
  CHECK(f.NewestStored() == kManyRecords);
}

// Guards against a cell without a snapshot: a leader that writes over the only
// whole one may be lost on its way.
TEST_CASE("a new leader leaves the newest snapshot whole until its own is") {
  WriterFixture f;
  f.writer->Write(f.SnapshotAt(1));
  f.Run();
  f.BeginTerm(2);
  f.Run();
  f.store.writes = 0;
  f.writer->Write(f.SnapshotAt(kManyRecords + 1));
  f.store.reachable = false;  // After the first part.
  CHECK(f.store.writes == 1);
  f.Run();
  CHECK(f.NewestStored() == 1);
  f.store.reachable = true;
  f.Run(Millis{200});
  CHECK(f.NewestStored() == kManyRecords + 1);
}

TEST_CASE("nothing is stored while the newest snapshot is not known") {
  WriterFixture f;
  f.BeginTerm(2);
  f.store.reachable = false;
  f.Run();
  CHECK_FALSE(f.writer->IsDue(0, 10 * kManyRecords));
  f.store.reachable = true;
  f.Run(Millis{200});
  CHECK(f.writer->IsDue(0, 10 * kManyRecords));
}

}  // namespace azurespur::cell
