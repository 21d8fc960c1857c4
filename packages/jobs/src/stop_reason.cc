#include "jobs/stop_reason.h"

namespace azurespur::jobs {

std::string_view StopReasonName(StopReason reason) {
  switch (reason) {
    case StopReason::kJobOver:
      return "job_over";
    case StopReason::kGangIncomplete:
      return "gang_incomplete";
    case StopReason::kPreempted:
      return "preempted";
    case StopReason::kStalled:
      return "stalled";
    case StopReason::kStartUnknown:
      return "start_unknown";
    case StopReason::kRestarted:
      return "restarted";
    case StopReason::kUnknownRun:
      return "unknown_run";
  }
  return "";
}

}  // namespace azurespur::jobs
