// Stores snapshots of the cell's state during one term of a leader, one part
// after the other.

#ifndef CELL_SRC_SNAPSHOT_WRITER_H_
#define CELL_SRC_SNAPSHOT_WRITER_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <set>
#include <string>

#include "base/clock.h"
#include "base/mailbox.h"
#include "base/metrics.h"
#include "cell/snapshot_store.h"
#include "cell_snapshot.h"
#include "log_timing.h"

namespace azurespur::cell {

class SnapshotWriter : public std::enable_shared_from_this<SnapshotWriter> {
 public:
  SnapshotWriter(SnapshotStore& store,
                 base::Mailbox& mailbox,
                 const base::Clock& clock,
                 const LogTiming& timing,
                 base::Metrics& metrics,
                 uint64_t epoch);

  // Reads which snapshot is the newest, or sends the next part, if it is time
  // for that.
  void Tick(base::MonoTime now);

  // True if enough records have been stored, or enough time has passed, since
  // the newest snapshot.
  bool IsDue(int64_t intake_next, int64_t work_next) const;

  // Starts to store `snapshot`. Call only if IsDue().
  void Write(CellSnapshot snapshot);

 private:
  void ReadNewest();
  void OnNewest(const base::Outcome<SnapshotStore::Values>& values);
  void SendPart();
  void OnPart(const AppendResult& result);
  void LogWritten();

  SnapshotStore& m_store;
  base::Mailbox& m_mailbox;
  const base::Clock& m_clock;
  const LogTiming& m_log_timing;
  base::Counter& m_written;
  base::Counter& m_bytes;
  const uint64_t m_epoch;
  uint64_t m_next_sequence = 0;
  int m_read_failures = 0;              // Until the first read that succeeds.
  bool m_known = false;                 // Whether the newest snapshot is known.
  int m_slot = 0;                       // Of the newest snapshot.
  std::set<std::string> m_stored_keys;  // Of both slots.
  // Of the newest snapshot, or of the one being stored.
  int64_t m_records = 0;  // Of both streams.
  int64_t m_unix_ms = 0;
  size_t m_size = 0;
  // What is to be written next. Parts without a value remove what is stored
  // besides this snapshot.
  std::deque<SnapshotPart> m_parts;
  size_t m_removals = 0;  // How many of them.
  base::MonoTime m_began{};
  bool m_in_flight = false;
  bool m_fenced = false;
  base::MonoTime m_next_try{};
};

}  // namespace azurespur::cell

#endif  // CELL_SRC_SNAPSHOT_WRITER_H_
