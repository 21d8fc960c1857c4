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
// How often a VM that lacks records looks for a snapshot that has them.
constexpr base::Millis kGapReadInterval{5000};

}  // namespace

void Node::ReadSnapshotIfNeeded(MonoTime now) {
  const bool held = m_intake_tail.held() || m_work_tail.held();
  const bool gap_read_due =
      LacksRecords(now) && !m_term && now >= m_next_gap_read;
  if (!(held || gap_read_due) || m_snapshot_read_in_flight ||
      now < m_next_snapshot_read) {
    return;
  }
  m_snapshot_read_in_flight = true;
  m_next_gap_read = now + kGapReadInterval;
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
  const std::vector<StoredSnapshot> stored = FindSnapshots(base::Value(values));
  for (const StoredSnapshot& one : stored) {
    if (Restore(one.snapshot)) {
      LogRestored(one.snapshot, sent_at);
      return;
    }
  }
  if (!m_intake_tail.held() && !m_work_tail.held()) {
    return;
  }
  if (stored.empty() && HasParts(base::Value(values)) &&
      ++m_incomplete_snapshot_reads < kMaxIncompleteReads) {
    m_next_snapshot_read = now + kReadRetryDelay;
    return;
  }
  m_incomplete_snapshot_reads = 0;
  SkipRemovedRecords(now);
}

void Node::LogRestored(const CellSnapshot& snapshot, MonoTime sent_at) const {
  base::LogEvent(
      base::Severity::kInfo, "AZ9212", "state restored from a snapshot",
      {{"intake_next", std::to_string(snapshot.intake_next)},
       {"work_next", std::to_string(snapshot.work_next)},
       {"age_ms", std::to_string(m_clock.WallMillis() - snapshot.unix_ms)},
       {"bytes", std::to_string(snapshot.table.size())},
       {"jobs", std::to_string(m_job_table.jobs().size())},
       {"ms", std::to_string(base::MillisBetween(sent_at, m_clock.Now()))}});
}

bool Node::Restore(const CellSnapshot& snapshot) {
  // One from before the oldest records would leave a gap.
  if (snapshot.intake_next < m_intake_tail.oldest() ||
      snapshot.work_next < m_work_tail.oldest()) {
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
  m_lacks_records_until = {};
  return true;
}

void Node::SkipRemovedRecords(MonoTime now) {
  const bool lacks = m_intake_tail.oldest() > m_intake_tail.next() ||
                     m_work_tail.oldest() > m_work_tail.next();
  if (lacks) {
    // Callers can't expect a state for longer than that anyway.
    m_lacks_records_until = now + m_options.finished_job_retention;
    base::LogEvent(base::Severity::kError, "AZ9217",
                   "records were removed that no snapshot covers",
                   {{"intake_next", std::to_string(m_intake_tail.next())},
                    {"intake_oldest", std::to_string(m_intake_tail.oldest())},
                    {"work_next", std::to_string(m_work_tail.next())},
                    {"work_oldest", std::to_string(m_work_tail.oldest())}});
  }
  m_intake_tail.StartFrom(
      std::max(m_intake_tail.next(), m_intake_tail.oldest()));
  m_work_tail.StartFrom(std::max(m_work_tail.next(), m_work_tail.oldest()));
}

bool Node::LacksRecords(MonoTime now) const {
  return now < m_lacks_records_until;
}

void Node::WriteSnapshotIfDue(MonoTime now) {
  // A table that lacks jobs must not become that of all VMs that start later.
  if (LacksRecords(now)) {
    return;
  }
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
