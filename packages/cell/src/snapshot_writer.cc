#include "snapshot_writer.h"

#include <algorithm>
#include <cstdlib>
#include <string>
#include <utility>

#include "base/event_log.h"
#include "cell/topics.h"

namespace azurespur::cell {

namespace {

constexpr base::Millis kRetryDelay{200};
// Half a megabyte of typical records: 10 Mbit/s carry it in half a second.
constexpr int64_t kMinRecords = 8000;
constexpr int64_t kTypicalRecordBytes = 64;
// Records that are written between two snapshots, in sizes of a snapshot.
constexpr int64_t kRecordsPerSnapshotSize = 2;
// Well below the retention of a log.
constexpr base::Millis kMaxInterval{60000};

}  // namespace

SnapshotWriter::SnapshotWriter(SnapshotStore& store,
                               base::Mailbox& mailbox,
                               const base::Clock& clock,
                               const LogTiming& timing,
                               base::Metrics& metrics,
                               uint64_t epoch)
    : m_store(store),
      m_mailbox(mailbox),
      m_clock(clock),
      m_log_timing(timing),
      m_written(metrics.GetCounter("azurespur_snapshots_written_total")),
      m_bytes(metrics.GetCounter("azurespur_snapshot_bytes")),
      m_epoch(epoch) {
  m_parts.push_back({std::string(kSnapshotWriterKey), std::to_string(epoch)});
}

void SnapshotWriter::Tick(base::MonoTime now) {
  if (m_in_flight || m_fenced || now < m_next_try) {
    return;
  }
  if (!m_parts.empty()) {
    SendPart();
  } else if (!m_known) {
    ReadNewest();
  }
}

bool SnapshotWriter::IsDue(int64_t intake_next, int64_t work_next) const {
  if (!m_known || m_fenced || !m_parts.empty()) {
    return false;
  }
  const int64_t enough = std::max(
      kMinRecords, kRecordsPerSnapshotSize * static_cast<int64_t>(m_size) /
                       kTypicalRecordBytes);
  // The wall clock may jump either way.
  const int64_t age_ms = std::abs(m_clock.WallMillis() - m_unix_ms);
  const int64_t records = intake_next + work_next - m_records;
  return records >= enough || (records > 0 && age_ms >= kMaxInterval.count());
}

void SnapshotWriter::Write(CellSnapshot snapshot) {
  m_began = m_clock.Now();
  m_records = snapshot.intake_next + snapshot.work_next;
  m_unix_ms = snapshot.unix_ms;
  m_size = snapshot.table.size();
  m_slot = 1 - m_slot;
  std::set<std::string> keys;
  for (SnapshotPart& part : SplitSnapshot(snapshot, m_slot)) {
    keys.insert(part.key);
    m_stored_keys.erase(part.key);
    m_parts.push_back(std::move(part));
  }
  // Writes are made in order, so this snapshot is whole by then.
  m_removals = m_stored_keys.size();
  for (const std::string& key : std::exchange(m_stored_keys, keys)) {
    m_parts.push_back({key, {}});
  }
  Tick(m_began);
}

void SnapshotWriter::ReadNewest() {
  m_in_flight = true;
  base::Mailbox& mailbox = m_mailbox;
  m_store.ReadAll([&mailbox, self = weak_from_this()](
                      base::Outcome<SnapshotStore::Values> values) {
    base::PushCompletion(mailbox, [self, values = std::move(values)] {
      if (const auto writer = self.lock()) {
        writer->OnNewest(values);
      }
    });
  });
}

void SnapshotWriter::OnNewest(
    const base::Outcome<SnapshotStore::Values>& values) {
  m_in_flight = false;
  if (!base::Ok(values)) {
    if (m_read_failures++ == 0) {
      base::LogEvent(base::Severity::kWarning, "AZ9214",
                     "snapshots can't be read; retrying",
                     {{"reason", base::GetError(values).message}});
    }
    m_next_try = m_clock.Now() + kRetryDelay;
    return;
  }
  m_known = true;
  for (const auto& [key, value] : base::Value(values)) {
    if (key != kSnapshotWriterKey) {
      m_stored_keys.insert(key);
    }
  }
  if (const auto newest = FindNewestSnapshot(base::Value(values))) {
    const CellSnapshot& snapshot = newest->snapshot;
    m_slot = newest->slot;
    m_records = snapshot.intake_next + snapshot.work_next;
    m_unix_ms = snapshot.unix_ms;
    m_size = snapshot.table.size();
  }
}

void SnapshotWriter::SendPart() {
  m_in_flight = true;
  const SnapshotPart& part = m_parts.front();
  SnapshotWrite write;
  write.key = part.key;
  write.value = part.value;
  write.producer = {std::string(kLeaderProducer), m_epoch, m_next_sequence};
  write.timeout = m_log_timing.AppendTimeout();
  base::Mailbox& mailbox = m_mailbox;
  m_store.Write(std::move(write),
                [&mailbox, self = weak_from_this()](AppendResult result) {
                  base::PushCompletion(mailbox, [self, result] {
                    if (const auto writer = self.lock()) {
                      writer->OnPart(result);
                    }
                  });
                });
}

void SnapshotWriter::OnPart(const AppendResult& result) {
  m_in_flight = false;
  switch (result.status) {
    case AppendStatus::kAppended:
      ++m_next_sequence;
      m_parts.pop_front();
      if (m_known && m_parts.size() == m_removals) {
        LogWritten();
      }
      Tick(m_clock.Now());
      return;
    case AppendStatus::kRefused:
    case AppendStatus::kUnknown:
      // A retry with the same sequence number has no second effect.
      m_next_try = m_clock.Now() + kRetryDelay;
      break;
    default:
      m_fenced = true;
      m_parts.clear();
      break;
  }
  base::LogEvent(base::Severity::kWarning, "AZ9215",
                 "part of a snapshot was not stored",
                 {{"status", std::string(AppendStatusName(result.status))},
                  {"epoch", std::to_string(m_epoch)},
                  {"sequence", std::to_string(m_next_sequence)},
                  {"parts_left", std::to_string(m_parts.size())}});
}

void SnapshotWriter::LogWritten() {
  m_written.Add(1);
  m_bytes.Set(static_cast<int64_t>(m_size));
  base::LogEvent(
      base::Severity::kInfo, "AZ9216", "snapshot stored",
      {{"slot", std::to_string(m_slot)},
       {"records", std::to_string(m_records)},
       {"bytes", std::to_string(m_size)},
       {"ms", std::to_string(base::MillisBetween(m_began, m_clock.Now()))}});
}

}  // namespace azurespur::cell
