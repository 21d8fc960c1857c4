// Records that other VMs handed on to this one. A datagram may arrive more than
// once, so each copy of it is answered with the one outcome of its record. Does
// no I/O and reads no clock.

#ifndef CELL_SRC_RECEIVED_FORWARDS_H_
#define CELL_SRC_RECEIVED_FORWARDS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "base/clock.h"
#include "cell/store_outcome.h"

namespace azurespur::cell {

// What to do with a message that hands on a record.
enum class ForwardStep : uint8_t {
  kStore,   // The first copy: store the record, then call Finish().
  kWait,    // The record is being stored; its outcome will be sent.
  kAnswer,  // Answer with `ForwardReceipt::outcome`; store nothing.
};

struct ForwardReceipt {
  ForwardStep step = ForwardStep::kStore;
  StoreOutcome outcome = StoreOutcome::kUnknown;
};

class ReceivedForwards {
 public:
  // A refusal is kept for `keep_refusals` and other outcomes until their sender
  // has stopped waiting, of `max_records` records at most.
  ReceivedForwards(base::Millis keep_refusals, size_t max_records)
      : m_keep_refusals(keep_refusals), m_max_records(max_records) {}

  // A message arrived; its sender waits until `deadline` at the latest. While
  // too many records are kept, the outcome of a further one is unknown, and it
  // isn't stored.
  ForwardReceipt Receive(std::string_view reply_to,
                         uint64_t id,
                         base::MonoTime deadline);

  // The record was stored, or not.
  void Finish(std::string_view reply_to,
              uint64_t id,
              StoreOutcome outcome,
              base::MonoTime now);

  void RemoveExpired(base::MonoTime now);

  size_t size() const { return m_records.size(); }

 private:
  // The sender's address and its number of the record.
  using Key = std::pair<std::string, uint64_t>;

  struct ReceivedRecord {
    std::optional<StoreOutcome> outcome;  // Empty while it is being stored.
    base::MonoTime keep_until{};
  };

  const base::Millis m_keep_refusals;
  const size_t m_max_records;
  std::map<Key, ReceivedRecord> m_records;
};

}  // namespace azurespur::cell

#endif  // CELL_SRC_RECEIVED_FORWARDS_H_
