// Appends submissions and cancellations, batched, and tells each caller
// whether its record is stored.

#ifndef CELL_SRC_INTAKE_WRITER_H_
#define CELL_SRC_INTAKE_WRITER_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/mailbox.h"
#include "cell/fenced_log.h"
#include "cell/store_outcome.h"
#include "log_timing.h"

namespace azurespur::cell {

class IntakeWriter {
 public:
  using Done = std::function<void(StoreOutcome)>;
  // Records were stored at an offset.
  using OnStored =
      std::function<void(int64_t offset, const std::vector<std::string>&)>;

  IntakeWriter(FencedLog& log,
               base::Mailbox& mailbox,
               const base::Clock& clock,
               std::string topic,
               LogTiming& timing,
               OnStored on_stored);

  // `done` runs once, at the latest soon after `deadline`. While appends fail,
  // it is refused at once; one try in a while finds out whether they still do.
  void Store(std::string record, base::MonoTime deadline, Done done);

  // Sends what waits and was refused before.
  void Tick(base::MonoTime now);

  // The log answered a read that was sent at `sent_at`.
  void OnLogContact(base::MonoTime sent_at);

  // True while appends fail.
  bool failing() const { return m_failures >= 2; }

 private:
  struct QueuedRecord {
    std::string record;
    base::MonoTime deadline{};
    Done done;
    bool uncertain = false;  // An earlier try may have been carried out.
    int attempts = 0;
  };

  void Flush();
  void OnAppend(std::vector<QueuedRecord> items,
                const AppendResult& result,
                base::MonoTime sent_at);
  void Retry(QueuedRecord item, base::MonoTime sent_at, base::MonoTime now);

  FencedLog& m_log;
  base::Mailbox& m_mailbox;
  const base::Clock& m_clock;
  const std::string m_topic;
  LogTiming& m_timing;
  const OnStored m_on_stored;
  std::deque<QueuedRecord> m_queue;
  int m_in_flight = 0;
  int m_failures = 0;  // In a row.
  base::MonoTime m_pause_until{};
  base::MonoTime m_next_probe{};    // While failing.
  base::MonoTime m_last_contact{};  // When the log last answered.
};

}  // namespace azurespur::cell

#endif  // CELL_SRC_INTAKE_WRITER_H_
