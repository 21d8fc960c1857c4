// A snapshot of the cell's state and its parts in the snapshot store. Does no
// I/O and reads no clock.
//
// Snapshots are stored in two slots by turns, so that one of them is whole
// while the other is written. The older one is removed then.

#ifndef CELL_SRC_CELL_SNAPSHOT_H_
#define CELL_SRC_CELL_SNAPSHOT_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "cell/snapshot_store.h"

namespace azurespur::cell {

// 10 Mbit/s carry it in a tenth of the shortest timeout of a write.
inline constexpr size_t kMaxSnapshotPartBytes = 48 << 10;

// Names the leader that wrote last. Written first in each term, so that writes
// of a former leader that are still on their way have no effect.
inline constexpr std::string_view kSnapshotWriterKey = "writer";

// The state after all records of the intake stream before `intake_next`, and of
// the work stream before `work_next`.
struct CellSnapshot {
  int64_t intake_next = 0;
  int64_t work_next = 0;
  int64_t unix_ms = 0;  // When it was taken.
  std::string table;    // See jobs::EncodeJobTable().
};

struct SnapshotPart {
  std::string key;
  std::string value;
};

struct StoredSnapshot {
  CellSnapshot snapshot;
  int slot = 0;
};

std::vector<SnapshotPart> SplitSnapshot(const CellSnapshot& snapshot, int slot);

// True if there are parts of any snapshot, whole or not.
bool HasParts(const SnapshotStore::Values& values);

// Returns the snapshots of which all parts are there, the newest first.
std::vector<StoredSnapshot> FindSnapshots(const SnapshotStore::Values& values);

// Returns the newest of them, or nothing.
std::optional<StoredSnapshot> FindNewestSnapshot(
    const SnapshotStore::Values& values);

}  // namespace azurespur::cell

#endif  // CELL_SRC_CELL_SNAPSHOT_H_
