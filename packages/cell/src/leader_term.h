// One term of a leader: owns the scheduler and appends its records, numbered,
// to the work stream. A record takes effect only once it is stored.

#ifndef CELL_SRC_LEADER_TERM_H_
#define CELL_SRC_LEADER_TERM_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/mailbox.h"
#include "cell/fenced_log.h"
#include "cell/node_options.h"
#include "cell/topics.h"
#include "jobs/job_table.h"
#include "jobs/scheduler.h"
#include "log_timing.h"

namespace azurespur::cell {

class LeaderTerm : public std::enable_shared_from_this<LeaderTerm> {
 public:
  // Called when records were stored. The callee applies them to the job table
  // before it returns.
  using OnStored =
      std::function<void(int64_t offset, const std::vector<std::string>&)>;

  // `sequence` is the sequence number of the append that began the term.
  LeaderTerm(const NodeOptions& options,
             FencedLog& log,
             base::Mailbox& mailbox,
             const base::Clock& clock,
             const jobs::JobTable& table,
             const LogTiming& timing,
             uint64_t epoch,
             uint64_t sequence,
             OnStored on_stored);

  uint64_t epoch() const { return m_epoch; }
  bool lost() const { return m_lost; }
  base::MonoTime last_append() const { return m_last_append; }
  // False once several appends in a row have failed.
  bool log_ok() const { return m_failures < kLogFailureThreshold; }
  jobs::Scheduler& scheduler() { return m_scheduler; }
  // Filled by calls to the scheduler. AppendPending() removes the records.
  jobs::SchedulerOutput& output() { return m_output; }

  // Appends the pending records, or a heartbeat record if nothing was appended
  // for `max_append_interval`.
  void AppendPending(base::MonoTime now, int64_t intake_end);

  // The records that are not known to be stored, in their order.
  std::vector<jobs::PendingRecord> Unstored() const;

  // Ends the term: scheduling stops, and a yield record is appended last.
  void Yield();
  bool yielding() const { return m_yielding; }
  bool yielded() const { return m_yield_stored; }

 private:
  // A single lost response doesn't mean that the log is unavailable.
  static constexpr int kLogFailureThreshold = 2;

  struct Batch {
    std::vector<jobs::PendingRecord> pending;
    std::vector<std::string> records;
    uint64_t sequence = 0;
  };

  void Send(base::MonoTime now);
  void OnAppend(const AppendResult& result, base::MonoTime sent_at);

  const NodeOptions& m_options;
  FencedLog& m_log;
  base::Mailbox& m_mailbox;
  const base::Clock& m_clock;
  const LogTiming& m_log_timing;
  const uint64_t m_epoch;
  const OnStored m_on_stored;
  jobs::Scheduler m_scheduler;
  jobs::SchedulerOutput m_output;
  std::deque<jobs::PendingRecord> m_queue;
  Batch m_batch;
  bool m_in_flight = false;  // The batch was sent or awaits a retry.
  base::MonoTime m_resend_at{};
  bool m_sent = false;
  int m_failures = 0;  // Consecutive failed appends.
  uint64_t m_next_sequence;
  int64_t m_recorded_intake_end = -1;
  // Bindings whose outcome, or whose open start, an earlier batch tells.
  uint64_t m_settled_binds = 0;
  // What the last heartbeat record said of it.
  std::optional<uint64_t> m_told_settled_binds;
  base::MonoTime m_last_append;
  base::MonoTime m_last_success;
  bool m_yielding = false;
  bool m_yield_stored = false;
  bool m_lost = false;
};

}  // namespace azurespur::cell

#endif  // CELL_SRC_LEADER_TERM_H_
