// Tracks submissions and cancellations that the leader stores for this VM,
// because this VM can't reach the log or the log is slow. Does no I/O and reads
// no clock.

#ifndef CELL_SRC_INTAKE_FORWARDER_H_
#define CELL_SRC_INTAKE_FORWARDER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>

#include "base/clock.h"
#include "intake_writer.h"

namespace azurespur::cell {

class IntakeForwarder {
 public:
  using Done = std::function<void(StoreOutcome)>;
  // Sends the record to the leader. The outcome is awaited for `wait`. The
  // message may be lost.
  using Send = std::function<
      void(uint64_t id, const std::string& record, base::Millis wait)>;

  // Records are numbered from `first_id` on. It must differ between the lives
  // of a VM, so that no outcome for a former life is taken.
  explicit IntakeForwarder(Send send, uint64_t first_id = 1)
      : m_send(std::move(send)), m_next_id(first_id) {}

  // True if the record fits into a message.
  static bool Fits(std::string_view record);

  // `uncertain` is true if an earlier append of the record may have taken
  // effect, or may do so later.
  void Start(std::string record,
             bool uncertain,
             base::MonoTime deadline,
             base::MonoTime now,
             Done done);

  void OnOutcome(uint64_t id, StoreOutcome outcome);

  // Retries unanswered records and ends those that are out of time. `reachable`
  // is true if the leader was heard recently.
  void Tick(base::MonoTime now, bool reachable);

 private:
  struct ForwardedRecord {
    std::string record;
    bool uncertain = false;
    int attempts = 1;
    base::MonoTime started_at{};
    base::MonoTime next_retry{};
    base::MonoTime deadline{};
    Done done;
  };

  void Finish(uint64_t id, StoreOutcome outcome);

  const Send m_send;
  std::map<uint64_t, ForwardedRecord> m_records;
  uint64_t m_next_id;
};

}  // namespace azurespur::cell

#endif  // CELL_SRC_INTAKE_FORWARDER_H_
