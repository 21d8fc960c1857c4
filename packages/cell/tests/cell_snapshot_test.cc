#include "cell_snapshot.h"

#include <doctest/doctest.h>

#include <string>

namespace azurespur::cell {

namespace {

constexpr size_t kThreeParts = 2 * kMaxSnapshotPartBytes + 100;

CellSnapshot MakeSnapshot(int64_t work_next, size_t bytes) {
  CellSnapshot snapshot{7, work_next, 1234, {}};
  for (size_t i = 0; i < bytes; ++i) {
    snapshot.table +=
        static_cast<char>(i * static_cast<size_t>(work_next + 1) % 251);
  }
  return snapshot;
}

void Store(const CellSnapshot& snapshot,
           int slot,
           SnapshotStore::Values& values) {
  for (const SnapshotPart& part : SplitSnapshot(snapshot, slot)) {
    values[part.key] = part.value;
  }
}

}  // namespace

TEST_CASE("a snapshot of several parts is found whole") {
  SnapshotStore::Values values;
  CHECK_FALSE(FindNewestSnapshot(values));
  const CellSnapshot snapshot = MakeSnapshot(50, kThreeParts);
  Store(snapshot, 1, values);
  CHECK(values.size() == 3);
  const auto found = FindNewestSnapshot(values);
  REQUIRE(found);
  CHECK(found->slot == 1);
  CHECK(found->snapshot.intake_next == 7);
  CHECK(found->snapshot.work_next == 50);
  CHECK(found->snapshot.unix_ms == 1234);
  CHECK(found->snapshot.table == snapshot.table);
}

TEST_CASE("parts are small enough for a narrow link") {
  for (const SnapshotPart& part : SplitSnapshot(MakeSnapshot(1, 500000), 0)) {
    CHECK(part.value.size() <= 64 << 10);
  }
}

TEST_CASE("the newer one of two whole snapshots is found") {
  SnapshotStore::Values values;
  Store(MakeSnapshot(90, kThreeParts), 0, values);
  Store(MakeSnapshot(80, kThreeParts), 1, values);
  CHECK(FindNewestSnapshot(values)->snapshot.work_next == 90);
}

TEST_CASE("a snapshot without one of its parts is passed over") {
  SnapshotStore::Values values;
  Store(MakeSnapshot(90, kThreeParts), 0, values);
  Store(MakeSnapshot(80, kThreeParts), 1, values);
  values.erase("0/1");
  CHECK(FindNewestSnapshot(values)->snapshot.work_next == 80);
  values.erase("1/0");
  CHECK_FALSE(FindNewestSnapshot(values));
}

// A leader was replaced while it stored a snapshot over an older one.
TEST_CASE("parts of two snapshots in one slot are not joined") {
  SnapshotStore::Values values;
  Store(MakeSnapshot(80, kThreeParts), 0, values);
  const auto newer = SplitSnapshot(MakeSnapshot(90, kThreeParts), 0);
  values[newer[0].key] = newer[0].value;
  CHECK_FALSE(FindNewestSnapshot(values));
}

TEST_CASE("a shorter snapshot in a slot leaves parts of a longer one unused") {
  SnapshotStore::Values values;
  Store(MakeSnapshot(80, kThreeParts), 0, values);
  Store(MakeSnapshot(90, 10), 0, values);
  CHECK(FindNewestSnapshot(values)->snapshot.work_next == 90);
}

TEST_CASE("a damaged part is passed over") {
  SnapshotStore::Values values;
  Store(MakeSnapshot(80, kThreeParts), 0, values);
  values["0/2"].back() ^= 1;
  CHECK_FALSE(FindNewestSnapshot(values));
  values["0/2"] = std::string("x");
  CHECK_FALSE(FindNewestSnapshot(values));
}

// Guards against a gap in the intake stream: a quiet work stream ends at the
// same record in both snapshots.
TEST_CASE("of two snapshots at the same work record, the later intake wins") {
  SnapshotStore::Values values;
  CellSnapshot later = MakeSnapshot(80, 100);
  later.intake_next += 5;
  Store(MakeSnapshot(80, 100), 0, values);
  Store(later, 1, values);
  CHECK(FindNewestSnapshot(values)->slot == 1);
}

}  // namespace azurespur::cell
