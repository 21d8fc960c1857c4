// Ends of runs that workers told this VM while it led, and that its term could
// not store. The VM hands them to the later leader, which would otherwise wait
// for the leases of workers that are gone. Does no I/O and reads no clock.

#ifndef CELL_SRC_UNSTORED_ENDS_H_
#define CELL_SRC_UNSTORED_ENDS_H_

#include <cstddef>
#include <map>
#include <span>
#include <vector>

#include "base/clock.h"
#include "cell/messages.h"
#include "jobs/job_table.h"
#include "jobs/scheduler_output.h"

namespace azurespur::cell {

class UnstoredEnds {
 public:
  // Keeps those of `records` that a worker reported.
  void Add(std::span<const jobs::PendingRecord> records, base::MonoTime now);

  // Drops the ends of runs that are over by the table, and those that are too
  // old to be of use.
  void RemoveKnown(const jobs::JobTable& table, base::MonoTime now);

  // The ends to send now, of about `max_bytes` at most; a later call goes on
  // with the others, and begins again after the last. Empty before the next
  // send is due.
  std::vector<WorkerEnd> TakeDue(size_t max_bytes, base::MonoTime now);

  std::vector<WorkerEnd> All() const;
  bool empty() const { return m_ends.empty(); }

 private:
  struct Entry {
    WorkerEnd end;
    base::MonoTime added{};
  };

  std::map<jobs::TaskRef, Entry> m_ends;
  jobs::TaskRef m_last_sent;
  base::MonoTime m_next_send{};
};

}  // namespace azurespur::cell

#endif  // CELL_SRC_UNSTORED_ENDS_H_
