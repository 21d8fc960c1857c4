// The states of one run of a task as the leader knows them, and what follows
// from each event. Does no I/O and reads no clock.

#ifndef JOBS_RUN_PHASE_H_
#define JOBS_RUN_PHASE_H_

#include <string_view>

namespace azurespur::jobs {

enum class RunPhase {
  kBinding,       // The binding is being stored; no start was sent.
  kStarting,      // The start was sent; no answer yet.
  kAdopted,       // Bound by an earlier leader; not yet reported by the worker.
  kRunning,       // Confirmed by the worker.
  kStartUnknown,  // The outcome of the start is unknown; stops are sent.
  kStopConfirmed,  // The stop was answered; a later report decides.
  kOver,  // Ended, or certain never to run. Only such a run may be released.
};

enum class RunEvent {
  kStartSent,
  kStartNotSent,     // The binding is stored, but its start is not sent.
  kStartAccepted,    // The worker has the run.
  kStartRefused,     // The start was sent once, and the worker has not the run.
  kStartInDoubt,     // No answer, or one that says nothing of an earlier send.
  kListed,           // A report has the run among those that are running.
  kMissing,          // A report would list the run, and doesn't.
  kMissingSendOpen,  // The same, and a send of the start got no answer.
  kEnded,            // A report has the run among those that have ended.
  kStopAnswered,
  kRestarted,          // The worker reported another boot.
  kRestartedSendOpen,  // The same, and a send of the start got no answer.
  kOtherBoot,          // The worker's address answers for another boot.
  kLapsed,             // The worker is silent, its lease is surely over.
};

// The name in log lines and metrics.
std::string_view RunEventName(RunEvent event);

// Returns the phase that follows; the same one if the event changes nothing.
RunPhase NextPhase(RunPhase phase, RunEvent event);

}  // namespace azurespur::jobs

#endif  // JOBS_RUN_PHASE_H_
