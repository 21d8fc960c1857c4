// Snapshots of the cell's state. A VM that starts, or that finds records
// removed which it has not read, goes on from the newest snapshot, so that what
// it has to read doesn't grow with the age of the streams.

#include <algorithm>
#include <utility>

#include "base/event_log.h"
#include "node.h"

namespace azurespur::cell {

using base::MonoTime;

namespace {

constexpr base::Millis kReadRetryDelay{100};
// A snapshot may be replaced while it is read. Parts that stay incomplete are
// those of a leader that was lost before it had stored any other snapshot.
constexpr int kMaxIncompleteReads = 5;

}  // namespace

void Node::ReadSnapshotIfNeeded(MonoTime now) {
  const bool needed = m_intake_tail.held() || m_work_tail.held();
  if (!needed || m_snapshot_read_in_flight || now < m_next_snapshot_read) {
    return;
  }
  m_snapshot_read_in_flight = true;
  m_dependencies.snapshots.ReadAll(
      [this, now](base::Outcome<SnapshotStore::Values> values) {
        base::PushCompletion(m_mailbox,
                             [this, now, values = std::move(values)] {
                               OnSnapshotRead(values, now);
                             });
      });
}

void Node::OnSnapshotRead(const base::Outcome<SnapshotStore::Values>& values,
                          MonoTime sent_at) {
  m_snapshot_read_in_flight = false;
  const MonoTime now = m_clock.Now();
  if (!base::Ok(values)) {
    if (m_snapshot_read_failures++ == 0) {
      base::LogEvent(base::Severity::kWarning, "AZ9214",
                     "snapshots can't be read; retrying",
                     {{"reason", base::GetError(values).message}});
    }
    m_next_snapshot_read = now + kReadRetryDelay;
    return;
  }
  m_snapshot_read_failures = 0;
  const auto newest = FindNewestSnapshot(base::Value(values));
  if (!newest && HasParts(base::Value(values)) &&
      ++m_incomplete_snapshot_reads < kMaxIncompleteReads) {
    m_next_snapshot_read = now + kReadRetryDelay;
    return;
  }
  m_incomplete_snapshot_reads = 0;
  if (newest && Restore(newest->snapshot)) {
    base::LogEvent(
        base::Severity::kInfo, "AZ9212", "state restored from a snapshot",
        {{"intake_next", std::to_string(newest->snapshot.intake_next)},
         {"work_next", std::to_string(newest->snapshot.work_next)},
         {"age_ms",
          std::to_string(m_clock.WallMillis() - newest->snapshot.unix_ms)},
         {"bytes", std::to_string(newest->snapshot.table.size())},
         {"jobs", std::to_string(m_job_table.jobs().size())},
         {"ms", std::to_string(base::MillisBetween(sent_at, now))}});
    return;
  }
  m_intake_tail.StartFrom(
      std::max(m_intake_tail.next(), m_intake_tail.oldest()));
  m_work_tail.StartFrom(std::max(m_work_tail.next(), m_work_tail.oldest()));
}

// A snapshot from before the oldest records leaves a gap, and doesn't help.
bool Node::Restore(const CellSnapshot& snapshot) {
  if (snapshot.intake_next < m_intake_tail.oldest() ||
      snapshot.work_next < m_work_tail.oldest()) {
    base::LogEvent(base::Severity::kError, "AZ9217",
                   "records were removed that no snapshot covers",
                   {{"intake_next", std::to_string(snapshot.intake_next)},
                    {"intake_oldest", std::to_string(m_intake_tail.oldest())},
                    {"work_next", std::to_string(snapshot.work_next)},
                    {"work_oldest", std::to_string(m_work_tail.oldest())}});
    return false;
  }
  auto table = jobs::DecodeJobTable(snapshot.table, m_clock.Now());
  if (!base::Ok(table)) {
    base::LogEvent(base::Severity::kWarning, "AZ9213",
                   "stored snapshot can't be used",
                   {{"reason", base::GetError(table).message}});
    return false;
  }
  StepDown("state is restored from a snapshot");
  m_job_table = std::move(base::Value(table));
  m_intake_tail.StartFrom(snapshot.intake_next);
  m_work_tail.StartFrom(snapshot.work_next);
  return true;
}

void Node::WriteSnapshotIfDue(MonoTime now) {
  m_snapshot_writer->Tick(now);
  if (!m_snapshot_writer->IsDue(m_intake_tail.next(), m_work_tail.next())) {
    return;
  }
  CellSnapshot snapshot;
  snapshot.intake_next = m_intake_tail.next();
  snapshot.work_next = m_work_tail.next();
  snapshot.unix_ms = m_clock.WallMillis();
  snapshot.table = jobs::EncodeJobTable(m_job_table, now);
  m_snapshot_writer->Write(std::move(snapshot));
}

}  // namespace azurespur::cell
