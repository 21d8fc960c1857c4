// Interface to a small store of keyed values that outlives all VMs, in which a
// cell keeps the newest snapshots of its state.

#ifndef CELL_SNAPSHOT_STORE_H_
#define CELL_SNAPSHOT_STORE_H_

#include <functional>
#include <map>
#include <string>

#include "base/clock.h"
#include "base/outcome.h"
#include "cell/fenced_log.h"

namespace azurespur::cell {

struct SnapshotWrite {
  std::string key;
  std::string value;  // Empty: the key is removed.
  Producer producer;  // Fences former leaders; makes a retry harmless.
  base::Millis timeout{500};
};

class SnapshotStore {
 public:
  using Values = std::map<std::string, std::string, std::less<>>;

  virtual ~SnapshotStore() = default;

  // The callbacks run on another thread and must not block.

  // Replaces or removes the value of a key. The result has no offset.
  virtual void Write(SnapshotWrite write,
                     std::function<void(AppendResult)> done) = 0;

  // Passes the latest value of every key; no values if nothing was written yet.
  // Values written meanwhile may be old or new.
  virtual void ReadAll(std::function<void(base::Outcome<Values>)> done) = 0;
};

}  // namespace azurespur::cell

#endif  // CELL_SNAPSHOT_STORE_H_
