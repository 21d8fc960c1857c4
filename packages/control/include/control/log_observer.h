// State that is built from one stream of the log.

#ifndef CONTROL_LOG_OBSERVER_H_
#define CONTROL_LOG_OBSERVER_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "base/outcome.h"
#include "control/log_channel.h"
#include "wire/log_entry.h"

namespace azurespur::control {

// Entry that restates live state before its record expires.
struct RefreshEntry {
  wire::EntryKind kind;
  std::string payload;
};

// OnEntry runs on the channel's reader thread; the others on any thread.
class LogObserver {
 public:
  virtual ~LogObserver() = default;

  // Applies one entry. Must give the same verdict on every VM: it may depend
  // only on the entries applied before, not on clocks or local state.
  virtual void OnEntry(const LogPosition& position,
                       const wire::LogEntry& entry) = 0;

  // The records from `from` up to `first` expired before they were read. Called
  // on the reader's thread, before the next OnEntry.
  virtual void OnGap(uint64_t /*from*/, uint64_t /*first*/) {}

  // Restates the state still needed whose last record is older than
  // `written_before_ms` (log service's clock).
  virtual std::vector<RefreshEntry> Refresh(int64_t written_before_ms) = 0;

  // Whole state, for a VM that starts while the log is away.
  virtual std::string SaveState() const = 0;

  // Replaces the state by one saved on another VM.
  virtual base::Outcome<base::Unit> LoadState(std::string_view bytes) = 0;
};

}  // namespace azurespur::control

#endif  // CONTROL_LOG_OBSERVER_H_
