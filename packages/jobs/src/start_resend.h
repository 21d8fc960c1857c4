// Starts of unknown outcome that are sent again later on, to the same worker.

#ifndef JOBS_SRC_START_RESEND_H_
#define JOBS_SRC_START_RESEND_H_

#include "jobs/fleet.h"

namespace azurespur::jobs {

// True if a later send fits the run. A gang doesn't wait for one member, whose
// start no longer fits the others'.
inline bool MayResend(const Run& run) {
  return !run.gang && !run.has_ticket && !run.has_run && !run.stop_requested;
}

// True unless the start was sent as often as it may be.
inline bool HasSendsLeft(const Run& run, const SchedulerOptions& options) {
  return run.start_sends < options.max_start_sends;
}

// True until the start is sent again, or known to have been carried out.
inline bool AwaitsResend(const Run& run) {
  return run.phase == RunPhase::kStartUnknown && run.resend;
}

// True if the run is over only once no send of its start can arrive. A gang's
// member is not waited for, and the task of a job that is over runs nowhere
// else.
inline bool WaitsForOpenStart(const Run& run) {
  return !run.gang && run.stop_reason != StopReason::kJobOver;
}

// True if the start can't begin a run any more, as another boot answered an
// order that was sent at `asked_at` to its worker's confirmed address.
inline bool IsRefusedByOtherBoot(const OpenStart& start,
                                 base::MonoTime asked_at) {
  return start.at_one_address && asked_at > start.until;
}

}  // namespace azurespur::jobs

#endif  // JOBS_SRC_START_RESEND_H_
