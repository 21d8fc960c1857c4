// Entries of the log streams. One append carries a batch of entries.

#ifndef WIRE_LOG_ENTRY_H_
#define WIRE_LOG_ENTRY_H_

#include <cstdint>
#include <string>
#include <vector>

#include "wire/codec.h"

namespace azurespur::wire {

// Stable numbers; never reuse one. Each names the payload's type.
enum class EntryKind : uint16_t {
  kListEdit = 100,  // Stream "lists".
  kListRefresh = 101,
  kOnceClaim = 200,  // Stream "once".
  kOnceFate = 201,
  kTaskAccept = 300,  // Stream "tasks".
  kTaskClaim = 301,
  kTaskBind = 302,
  kTaskStarted = 303,
  kTaskEnd = 304,
  kTaskGiveBack = 305,
  kTaskCancel = 306,
  kTaskRefresh = 307,
  kProposal = 400,  // Stream "lists": action that waits for approval.
};

struct LogEntry {
  std::string id;  // Unique: VM, incarnation, sequence number.
  uint16_t kind = 0;
  std::string payload;  // wire::Encode of the kind's type.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(id, kind, payload);
  }
};

struct LogBatch {
  std::vector<LogEntry> entries;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(entries);
  }
};

}  // namespace azurespur::wire

#endif  // WIRE_LOG_ENTRY_H_
