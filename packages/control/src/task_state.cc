#include "control/task_state.h"

namespace azurespur::control {

std::string_view TaskPhaseName(TaskPhase phase) {
  switch (phase) {
    case TaskPhase::kAccepted:
      return "accepted";
    case TaskPhase::kBound:
      return "bound";
    case TaskPhase::kRunning:
      return "running";
    case TaskPhase::kMayHaveRun:
      return "may-have-run";
    case TaskPhase::kFinished:
      return "finished";
    case TaskPhase::kFailed:
      return "failed";
    case TaskPhase::kCancelled:
      return "cancelled";
  }
  return "unknown";
}

}  // namespace azurespur::control
