#include "cell_snapshot.h"

#include <xxhash.h>

#include <algorithm>
#include <string_view>
#include <utility>

#include "base/event_log.h"
#include "wire/codec.h"

namespace azurespur::cell {

namespace {

constexpr int kSlots = 2;

// The value of one key.
struct StoredPart {
  int64_t intake_next = 0;
  int64_t work_next = 0;
  int64_t unix_ms = 0;
  int32_t parts = 0;      // Of the whole snapshot.
  uint64_t checksum = 0;  // Of the whole table.
  std::string bytes;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(intake_next, work_next, unix_ms, parts, checksum, bytes);
  }
};

std::string KeyOf(int slot, int32_t part) {
  return std::to_string(slot) + "/" + std::to_string(part);
}

uint64_t ChecksumOf(std::string_view bytes) {
  return XXH3_64bits(bytes.data(), bytes.size());
}

void LogUnusable(int slot, const std::string& reason) {
  base::LogEvent(base::Severity::kWarning, "AZ9213",
                 "stored snapshot can't be used",
                 {{"slot", std::to_string(slot)}, {"reason", reason}});
}

std::optional<StoredPart> FindPart(const SnapshotStore::Values& values,
                                   int slot,
                                   int32_t part) {
  const auto found = values.find(KeyOf(slot, part));
  if (found == values.end()) {
    return std::nullopt;
  }
  auto decoded = wire::Decode<StoredPart>(found->second);
  if (!base::Ok(decoded)) {
    LogUnusable(slot, base::GetError(decoded).message);
    return std::nullopt;
  }
  return base::Value(std::move(decoded));
}

std::optional<CellSnapshot> JoinParts(const SnapshotStore::Values& values,
                                      int slot) {
  const auto first = FindPart(values, slot, 0);
  if (!first) {
    return std::nullopt;
  }
  CellSnapshot snapshot{first->intake_next, first->work_next, first->unix_ms,
                        first->bytes};
  for (int32_t i = 1; i < first->parts; ++i) {
    const auto part = FindPart(values, slot, i);
    // Another checksum: the slot was being written while it was read.
    if (!part || part->checksum != first->checksum) {
      LogUnusable(slot, "part " + std::to_string(i) + " of " +
                            std::to_string(first->parts) + " is missing");
      return std::nullopt;
    }
    snapshot.table += part->bytes;
  }
  if (ChecksumOf(snapshot.table) != first->checksum) {
    LogUnusable(slot, "checksum does not match");
    return std::nullopt;
  }
  return snapshot;
}

}  // namespace

std::vector<SnapshotPart> SplitSnapshot(const CellSnapshot& snapshot,
                                        int slot) {
  const std::string_view table = snapshot.table;
  const size_t count = std::max<size_t>(
      1, (table.size() + kMaxSnapshotPartBytes - 1) / kMaxSnapshotPartBytes);
  const uint64_t checksum = ChecksumOf(table);
  std::vector<SnapshotPart> parts;
  for (size_t i = 0; i < count; ++i) {
    StoredPart part{snapshot.intake_next,
                    snapshot.work_next,
                    snapshot.unix_ms,
                    static_cast<int32_t>(count),
                    checksum,
                    std::string(table.substr(i * kMaxSnapshotPartBytes,
                                             kMaxSnapshotPartBytes))};
    parts.push_back({KeyOf(slot, static_cast<int32_t>(i)), wire::Encode(part)});
  }
  return parts;
}

bool HasParts(const SnapshotStore::Values& values) {
  return std::any_of(values.begin(), values.end(), [](const auto& entry) {
    return entry.first != kSnapshotWriterKey;
  });
}

std::vector<StoredSnapshot> FindSnapshots(const SnapshotStore::Values& values) {
  std::vector<StoredSnapshot> found;
  for (int slot = 0; slot < kSlots; ++slot) {
    if (auto snapshot = JoinParts(values, slot)) {
      found.push_back({std::move(*snapshot), slot});
    }
  }
  const auto place = [](const StoredSnapshot& one) {
    return std::pair(one.snapshot.work_next, one.snapshot.intake_next);
  };
  std::sort(found.begin(), found.end(),
            [&place](const StoredSnapshot& a, const StoredSnapshot& b) {
              return place(a) > place(b);
            });
  return found;
}

std::optional<StoredSnapshot> FindNewestSnapshot(
    const SnapshotStore::Values& values) {
  std::vector<StoredSnapshot> found = FindSnapshots(values);
  if (found.empty()) {
    return std::nullopt;
  }
  return std::move(found.front());
}

}  // namespace azurespur::cell
