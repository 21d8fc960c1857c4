// Submissions of this VM whose appends may still be carried out, although
// nobody was told so. Does no I/O and reads no clock. For use by any thread.

#ifndef CELL_SRC_OPEN_SUBMISSIONS_H_
#define CELL_SRC_OPEN_SUBMISSIONS_H_

#include <map>
#include <mutex>

#include "base/clock.h"
#include "cell/store_outcome.h"
#include "jobs/job_id.h"

namespace azurespur::cell {

class OpenSubmissions {
 public:
  // An append without an answer counts as open for `keep`.
  explicit OpenSubmissions(base::Millis keep) : m_keep(keep) {}

  // This VM takes on a submission of the job.
  void Begin(jobs::JobId job);

  // The submission is over as far as this VM learns.
  void End(jobs::JobId job, StoreOutcome outcome, base::MonoTime now);

  // True if a submission of the job is not over, or was left without an answer
  // so recently that its append may still be carried out.
  bool MayBeStored(jobs::JobId job, base::MonoTime now) const;

  // Forgets appends that are too old to be carried out.
  void RemoveExpired(base::MonoTime now);

 private:
  struct Open {
    int in_progress = 0;
    base::MonoTime uncertain_until{};
  };

  const base::Millis m_keep;
  mutable std::mutex m_mutex;
  std::map<jobs::JobId, Open> m_open;
};

}  // namespace azurespur::cell

#endif  // CELL_SRC_OPEN_SUBMISSIONS_H_
