// One run of a task, as the leader knows it.

#ifndef JOBS_RUN_H_
#define JOBS_RUN_H_

#include <cstdint>
#include <optional>
#include <string>

#include "base/clock.h"
#include "jobs/account_usage.h"
#include "jobs/run_phase.h"
#include "jobs/stop_reason.h"
#include "placement/resources.h"

namespace azurespur::jobs {

struct Run {
  int32_t run = 0;
  RunPhase phase = RunPhase::kBinding;
  placement::Resources demand;
  AccountIndex account = kNoAccount;
  bool urgent = false;
  int32_t priority = 0;      // Priority of the queue; 0 is the most urgent.
  bool preemptible = false;  // Can be stopped without losing work.
  bool gang = false;         // Ends only together with the others of its step.
  bool stop_requested = false;
  // Of the request; of the first stop if none was requested.
  std::optional<StopReason> stop_reason;
  bool stop_counted = false;
  base::MonoTime start_sent_at{};
  uint64_t start_fence = 0;  // Of the newest send of the start.
  int32_t start_sends = 0;
  // The start carries a ticket, so no later boot of the worker accepts it.
  bool has_ticket = false;
  // The start is to be sent again, as its outcome is unknown, once a report
  // that is asked for after `unanswered_at` lacks the run.
  bool resend = false;
  base::MonoTime unanswered_at{};
  // It was running on a former boot, where it may have ended unheard; so it is
  // not sent to a later one.
  bool has_run = false;
  // Until then, a send of the start that got no answer may still be executed.
  base::MonoTime start_open_until{};
  base::MonoTime stop_sent_at{};
  base::MonoTime confirmed_at{};  // When the worker answered start or stop.
  // When the start was accepted, or a report first listed the run. Unset for a
  // run that a former leader started.
  base::MonoTime started_at{};
  bool resumed = false;  // Began from a checkpoint.
  // A lease that an earlier leader granted is over by then, at whichever boot.
  base::MonoTime former_lease_until{};
  // After this time an unanswered start can no longer take effect.
  base::MonoTime start_deadline = base::MonoTime::max();
  int32_t percent = -1;
  base::MonoTime progress_at{};
  std::string checkpoint;  // Latest one reported.
};

}  // namespace azurespur::jobs

#endif  // JOBS_RUN_H_
