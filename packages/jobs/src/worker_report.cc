#include "jobs/worker_report.h"

namespace azurespur::jobs {

std::string_view EndCauseName(EndCause cause) {
  switch (cause) {
    case EndCause::kDone:
      return "done";
    case EndCause::kFailed:
      return "failed";
    case EndCause::kStopped:
      return "stopped";
    case EndCause::kLeaseExpired:
      return "lease-expired";
    case EndCause::kGangBroken:
      return "gang-broken";
    case EndCause::kGangIncomplete:
      return "gang-incomplete";
  }
  return "";
}

}  // namespace azurespur::jobs
