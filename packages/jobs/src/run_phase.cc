#include "jobs/run_phase.h"

namespace azurespur::jobs {

namespace {

// No start was sent, so only the own decision to send one matters.
RunPhase AfterBinding(RunEvent event) {
  switch (event) {
    case RunEvent::kStartSent:
      return RunPhase::kStarting;
    case RunEvent::kStartNotSent:
      return RunPhase::kOver;
    default:
      return RunPhase::kBinding;
  }
}

RunPhase AfterStarting(RunEvent event) {
  switch (event) {
    case RunEvent::kStartAccepted:
    case RunEvent::kListed:
      return RunPhase::kRunning;
    // The start may still reach the new boot.
    case RunEvent::kRestarted:
    case RunEvent::kRestartedSendOpen:
    case RunEvent::kStartInDoubt:
      return RunPhase::kStartUnknown;
    case RunEvent::kStartRefused:
    case RunEvent::kEnded:
    case RunEvent::kLapsed:
      return RunPhase::kOver;
    default:
      return RunPhase::kStarting;
  }
}

RunPhase AfterAdopted(RunEvent event) {
  switch (event) {
    case RunEvent::kListed:
      return RunPhase::kRunning;
    case RunEvent::kMissingSendOpen:
      return RunPhase::kStartUnknown;
    // The report came under a later fencing token than that of the start.
    case RunEvent::kMissing:
    case RunEvent::kEnded:
    case RunEvent::kOtherBoot:
    case RunEvent::kLapsed:
      return RunPhase::kOver;
    default:
      return RunPhase::kAdopted;
  }
}

// A restart ends no run: the new boot may have accepted the start. Its report
// tells.
RunPhase AfterRunning(RunEvent event) {
  switch (event) {
    case RunEvent::kRestartedSendOpen:
    case RunEvent::kMissingSendOpen:
      return RunPhase::kStartUnknown;
    case RunEvent::kMissing:
    case RunEvent::kEnded:
    case RunEvent::kOtherBoot:
    case RunEvent::kLapsed:
      return RunPhase::kOver;
    default:
      return RunPhase::kRunning;
  }
}

RunPhase AfterStartUnknown(RunEvent event) {
  switch (event) {
    case RunEvent::kStopAnswered:
      return RunPhase::kStopConfirmed;
    case RunEvent::kStartSent:
      return RunPhase::kStarting;
    case RunEvent::kStartAccepted:
      return RunPhase::kRunning;
    case RunEvent::kMissing:
    case RunEvent::kEnded:
    case RunEvent::kOtherBoot:
    case RunEvent::kLapsed:
      return RunPhase::kOver;
    default:
      return RunPhase::kStartUnknown;
  }
}

RunPhase AfterStopConfirmed(RunEvent event) {
  switch (event) {
    // Only the former boot refuses the start from now on.
    case RunEvent::kRestarted:
    case RunEvent::kRestartedSendOpen:
      return RunPhase::kStartUnknown;
    case RunEvent::kMissing:
    case RunEvent::kEnded:
    case RunEvent::kOtherBoot:
    case RunEvent::kLapsed:
      return RunPhase::kOver;
    default:
      return RunPhase::kStopConfirmed;
  }
}

}  // namespace

std::string_view RunEventName(RunEvent event) {
  switch (event) {
    case RunEvent::kStartSent:
      return "start_sent";
    case RunEvent::kStartNotSent:
      return "start_not_sent";
    case RunEvent::kStartAccepted:
      return "start_accepted";
    case RunEvent::kStartRefused:
      return "start_refused";
    case RunEvent::kStartInDoubt:
      return "start_in_doubt";
    case RunEvent::kListed:
      return "listed";
    case RunEvent::kMissing:
      return "missing";
    case RunEvent::kMissingSendOpen:
      return "missing_send_open";
    case RunEvent::kEnded:
      return "ended";
    case RunEvent::kStopAnswered:
      return "stop_answered";
    case RunEvent::kRestarted:
      return "restarted";
    case RunEvent::kRestartedSendOpen:
      return "restarted_send_open";
    case RunEvent::kOtherBoot:
      return "other_boot";
    case RunEvent::kLapsed:
      return "lapsed";
  }
  return "";
}

RunPhase NextPhase(RunPhase phase, RunEvent event) {
  switch (phase) {
    case RunPhase::kBinding:
      return AfterBinding(event);
    case RunPhase::kStarting:
      return AfterStarting(event);
    case RunPhase::kAdopted:
      return AfterAdopted(event);
    case RunPhase::kRunning:
      return AfterRunning(event);
    case RunPhase::kStartUnknown:
      return AfterStartUnknown(event);
    case RunPhase::kStopConfirmed:
      return AfterStopConfirmed(event);
    case RunPhase::kOver:
      return RunPhase::kOver;
  }
  return phase;
}

}  // namespace azurespur::jobs
