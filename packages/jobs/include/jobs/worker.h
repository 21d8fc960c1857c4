// A worker, as the leader knows it: its boot, lease, runs and hold orders.

#ifndef JOBS_WORKER_H_
#define JOBS_WORKER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "jobs/account_usage.h"
#include "jobs/run.h"
#include "jobs/task_ref.h"
#include "jobs/worker_entry.h"
#include "jobs/worker_speeds.h"
#include "placement/resources.h"

namespace azurespur::jobs {

// A send of a start that got no answer, of a run that is over. It may still
// reach the worker, and a later boot of it would begin the run again if it has
// not yet seen a higher fencing token.
struct OpenSend {
  TaskRef task;
  int32_t run = 0;
  placement::Resources demand;
  AccountIndex account = kNoAccount;
  base::MonoTime until{};  // The latest time of its arrival.
  bool over = true;        // The current boot neither has nor begins the run.
};

// An end that is stored but not acknowledged, as its task has an open start.
struct HeldEnd {
  int64_t number = 0;
  TaskRef task;
};

// The worker's speed as placement uses it; that of a median worker while the
// speeds don't differ.
struct PlacementSpeed {
  // A task takes at most so many times as long as on a median worker, by one
  // standard deviation of the estimate.
  double slowness_bound = 1;
  // Tenths of the logarithm of the slowness: about 10% each.
  int32_t speed_class = 0;
};

struct Worker {
  // `entry.boot` is the boot that the worker itself reported last.
  WorkerEntry entry;
  // The directory's entry is that of another boot, so it doesn't tell the
  // capacity, labels and state of this one.
  bool undescribed = false;
  // The directory's entry of a boot that the worker has not reported yet.
  std::optional<WorkerEntry> announced;
  base::MonoTime announced_at{};
  // Earlier boots; an entry that names one of them is out of date.
  std::vector<int64_t> former_boots;
  // When the worker reported its newest boot, if it has restarted in this term.
  base::MonoTime restart_seen_at{};
  bool listed = true;
  // Fencing token of all calls. Rises with each boot, so that calls meant for
  // an earlier boot have no effect on one that has answered under it.
  uint64_t fence = 0;
  // Under `fence`, a call was sent that another boot would misread: a start, a
  // lease or an acknowledgement of ends.
  bool fence_used = false;
  // The current boot has answered under `fence`.
  bool confirmed = false;
  // Where the current boot answered last, this leader or an earlier one.
  std::string confirmed_address;
  // Earlier leaders bound the adopted runs to more than one boot.
  bool adopted_from_several_boots = false;
  // When the newest order was sent to the confirmed address that another boot
  // answered there; unset once the current one has answered again.
  base::MonoTime other_boot_at{};
  // When a start or a lease was last sent, or found unanswered.
  base::MonoTime last_grant_at{};
  // The newest report lists a run that the leader doesn't know.
  bool has_unknown_run = false;
  // The last hold order was answered, under `fence`.
  bool responsive = false;
  placement::Resources used;
  std::map<TaskRef, Run> runs;
  std::vector<OpenSend> open_sends;
  int32_t failures_in_row = 0;
  base::MonoTime avoid_until{};  // Gets no new tasks before this time.
  WorkerSpeed estimate;  // Kept up to date also while the speeds don't differ.
  PlacementSpeed speed;

  // Clock and lease.
  bool clock_known = false;
  int64_t clock_ms = 0;  // The worker's clock at `clock_at`.
  base::MonoTime clock_at{};
  int64_t max_lease_until_ms = 0;  // Latest lease end ever sent.
  // After this time nothing runs on the worker unless the lease is renewed.
  base::MonoTime lease_expires_at{};

  // Hold orders.
  int32_t holds_in_flight = 0;
  // Hold orders in a row that stayed unanswered while this VM was behind.
  int32_t late_holds = 0;
  // Ends before the next report are known late.
  base::MonoTime last_hold_failed_at{};
  base::MonoTime next_hold{};
  // When the most recent answered hold order was sent.
  base::MonoTime newest_hold_sent_at{};
  bool more_ends = false;   // The newest report didn't list all ends.
  int64_t ends_read = 0;    // Highest end number passed to the output.
  int64_t ends_stored = 0;  // Highest end number whose record is stored.
  // Highest end number whose acknowledgement the boot has answered.
  int64_t ends_forgotten = 0;
  std::vector<HeldEnd> held_ends;  // By number.
};

// Returns true if the worker can take new tasks now.
bool AcceptsTasks(const Worker& worker, base::MonoTime now);

placement::Resources FreeCapacity(const Worker& worker);

}  // namespace azurespur::jobs

#endif  // JOBS_WORKER_H_
