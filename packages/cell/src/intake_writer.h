// Appends submissions and cancellations to the intake stream in batches and
// tells each caller whether its record was stored.

#ifndef CELL_SRC_INTAKE_WRITER_H_
#define CELL_SRC_INTAKE_WRITER_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <span>
#include <string>
#include <vector>

#include "append_lane.h"
#include "base/clock.h"
#include "base/mailbox.h"
#include "cell/fenced_log.h"
#include "cell/store_outcome.h"
#include "log_timing.h"

namespace azurespur::cell {

class IntakeWriter {
 public:
  using Done = std::function<void(StoreOutcome)>;
  // Called when records were stored at `offset`.
  using OnStored =
      std::function<void(int64_t offset, const std::vector<std::string>&)>;

  // `name` is the VM's and stays the same when it starts again.
  IntakeWriter(FencedLog& log,
               base::Mailbox& mailbox,
               const base::Clock& clock,
               std::string topic,
               const std::string& name,
               LogTiming& timing,
               OnStored on_stored);

  // Runs `done` once, shortly after `deadline` at the latest. While appends
  // fail, records are rejected at once, except for an occasional one that
  // probes whether the log works again, once the log has answered a read.
  void Store(std::string record, base::MonoTime deadline, Done done);

  // Ends records whose deadline has passed and sends the other queued ones. At
  // the start of a life, makes the log reject the appends of the former one.
  void Tick(base::MonoTime now);

  // The log answered a read that was sent at `sent_at`.
  void OnLogContact(base::MonoTime sent_at);

  // True while appends fail.
  bool failing() const { return m_failures >= 2 || superseded(); }

  // No append of a former life of this VM can take effect any more. Those of
  // releases that appended without a producer are not covered.
  bool former_life_fenced() const;

 private:
  struct QueuedRecord {
    std::string record;
    base::MonoTime deadline{};
    Done done;
    bool uncertain = false;  // An earlier append may have taken effect.
    int attempts = 0;
  };

  // One append at a time, of a batch whose callers still wait.
  struct Lane {
    AppendLane appends;
    std::vector<QueuedRecord> waiting;  // May be fewer than its records.
    bool in_flight = false;
  };

  void Flush();
  // Returns empty if none may send.
  Lane* FindLaneToSend();
  void FillLane(Lane& lane);
  void Send(Lane& lane);
  void FenceFormerLife(base::MonoTime now);
  void EndExpired(Lane& lane, base::MonoTime now);
  void OnAppend(Lane& lane, const AppendResult& result, base::MonoTime sent_at);
  void OnAppended(Lane& lane, int64_t offset, base::MonoTime sent_at);
  void OnFailed(Lane& lane,
                AppendStatus status,
                LaneOutcome outcome,
                base::MonoTime sent_at);
  void End(std::span<QueuedRecord> records);
  // True if no other append of the record is to be made.
  bool IsHopeless(const QueuedRecord& queued,
                  base::MonoTime sent_at,
                  base::MonoTime now) const;
  bool superseded() const;

  FencedLog& m_log;
  base::Mailbox& m_mailbox;
  const base::Clock& m_clock;
  const std::string m_topic;
  LogTiming& m_log_timing;
  const OnStored m_on_stored;
  std::deque<QueuedRecord> m_queue;
  std::vector<Lane> m_lanes;  // Of a fixed size.
  int m_in_flight = 0;
  int m_failures = 0;  // Consecutive failed appends.
  base::MonoTime m_pause_until{};
  base::MonoTime m_next_probe{};    // While failing.
  base::MonoTime m_next_fencing{};  // Of a former life.
  base::MonoTime m_last_failure{};  // Of an append.
  base::MonoTime m_last_contact{};  // When the log last answered.
};

}  // namespace azurespur::cell

#endif  // CELL_SRC_INTAKE_WRITER_H_
