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

// True until the start is sent again, or known to have been carried out.
inline bool AwaitsResend(const Run& run) {
  return run.phase == RunPhase::kStartUnknown && run.resend;
}

}  // namespace azurespur::jobs

#endif  // JOBS_SRC_START_RESEND_H_
