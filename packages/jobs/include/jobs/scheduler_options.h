// Intervals, timeouts and limits of the scheduler.

#ifndef JOBS_SCHEDULER_OPTIONS_H_
#define JOBS_SCHEDULER_OPTIONS_H_

#include <cstddef>
#include <cstdint>

#include "base/clock.h"

namespace azurespur::jobs {

struct SchedulerOptions {
  double link_mbps = 0;  // Of this VM's link in Mbit/s; 0 if unknown.
  // Fencing tokens of this term: the first one, which is the leader's epoch,
  // and the last one below all of later leaders.
  uint64_t fence = 0;
  uint64_t last_fence = UINT64_MAX;
  // Lease of all runs on a worker. With a shorter lease the tasks of an
  // unreachable worker can be rescheduled earlier; with a longer one they
  // survive a longer network partition of their failure domain.
  base::Millis lease{8500};
  base::Millis max_lease{10000};  // Longest lease that a worker grants.
  // A leader renews leases, and starts tasks, for at most this long after the
  // append concerned, so that a successor knows when an unreachable worker has
  // stopped its runs.
  base::Millis max_renew_after_append{7000};
  base::Millis busy_hold_wait{1000};  // Long poll of a worker with runs.
  base::Millis idle_hold_wait{2000};  // Long poll of an idle worker.
  // Replaces busy_hold_wait while several workers leave orders unanswered,
  // because a lost hold order delays the reports of all ends on its worker.
  base::Millis degraded_hold_wait{200};
  // For the answer to an order, after a long poll's wait. While this VM is
  // behind, its delay is added, up to the maximum. A report may take as long
  // while other answers fill the link.
  base::Millis order_timeout{350};
  base::Millis max_order_timeout{2500};
  // For a report that keeps arriving. The next hold order has to renew the
  // lease after the wait and the transfer of the last one.
  base::Millis max_report_transfer{3000};
  base::Millis max_start_timeout{650};  // The same for each send of a start.
  // A worker that leaves more hold orders in a row unanswered counts as lost
  // even while this VM is behind.
  int32_t max_late_holds = 1;
  // Between hold orders to a worker that does not answer.
  base::Millis silent_retry_interval{250};
  // The same while a send of a start to the worker is open: a new boot has to
  // be told of it.
  base::Millis open_send_retry_interval{50};
  base::Millis stop_retry_interval{500};  // Between repeated stops of a run.
  // A start that stays unanswered after so many sends is followed by stops, and
  // its task waits until none of the sends can arrive. So a worker that answers
  // other orders gets many.
  int32_t max_start_sends = 8;
  // The same at a worker that answers nothing, until it does.
  int32_t max_silent_start_sends = 3;
  // The same for a member of a gang: the others wait for it.
  int32_t max_gang_start_sends = 3;
  // Between hold orders while reported ends are not yet stored.
  base::Millis end_retry_interval{300};
  // A run without progress for this long is stopped and started elsewhere.
  base::Millis stall_timeout{2500};
  // A worker with so many failures in a row gets no tasks for `worker_backoff`.
  int32_t max_failures_in_row = 3;
  // Also applies after a stalled run or a repeated start without success.
  base::Millis worker_backoff{4000};
  // Interval of plans that include all steps of non-urgent queues. A plan with
  // many waiting gangs reads every worker for each of them, so in other ticks
  // only urgent steps and those with new advice are planned.
  base::Millis full_plan_interval{60};
  // A gang preempts while its slack is above 0 and below this. With more slack
  // it may still get capacity without preemption; without slack it is late
  // anyway.
  base::Millis max_preempt_slack{4000};
  size_t max_advice_workers = 100;  // Workers in one advice query.
  // Placement begins to use the speeds of workers when the ratio of the 90th to
  // the 10th percentile of their slowness exceeds this, and stops at 0.9 times
  // this. A lower limit reacts to differences that come from unlike tasks.
  double min_speed_spread = 2;
};

}  // namespace azurespur::jobs

#endif  // JOBS_SCHEDULER_OPTIONS_H_
