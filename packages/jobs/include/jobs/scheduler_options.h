// Times and limits of the scheduler.

#ifndef JOBS_SCHEDULER_OPTIONS_H_
#define JOBS_SCHEDULER_OPTIONS_H_

#include <cstddef>
#include <cstdint>

#include "base/clock.h"

namespace azurespur::jobs {

struct SchedulerOptions {
  uint64_t fence = 0;  // Epoch of this leader.
  // Lease of all that runs on a worker. Shorter: work of a silent worker is
  // free earlier. Longer: work outlives a longer cut of its failure domain.
  base::Millis lease{8500};
  // A leader renews leases for at most this long after its last append, so a
  // successor knows when a worker that it can't reach has stopped its work.
  base::Millis max_renew_after_append{7000};
  base::Millis busy_hold_wait{1000};  // Look at a worker that runs something.
  base::Millis idle_hold_wait{2000};  // Look at a worker that runs nothing.
  // As busy_hold_wait, while several workers leave orders unanswered: a lost
  // look delays all that ends on its worker.
  base::Millis degraded_hold_wait{200};
  base::Millis silent_retry_interval{250};  // Between looks at a silent worker.
  base::Millis stop_retry_interval{500};    // Between repeats of a stop.
  base::Millis max_binding_age{1000};       // Oldest binding that is started.
  int32_t max_start_sends = 3;  // Then the run is stopped, in place of started.
  base::Millis end_retry_interval{
      300};  // Look again while ends are not yet stored.
  // No progress for so long: the run is stopped and started elsewhere.
  base::Millis stall_timeout{2500};
  int32_t max_failures_in_row = 3;    // In a row, without a success.
  base::Millis worker_backoff{4000};  // Then the worker gets nothing.
  // Steps that are not urgent are planned this often, or when advice on one of
  // them comes: with many gangs waiting, a plan reads every worker for each.
  base::Millis full_plan_interval{60};
  size_t max_advice_workers = 100;  // In one query.
};

}  // namespace azurespur::jobs

#endif  // JOBS_SCHEDULER_OPTIONS_H_
