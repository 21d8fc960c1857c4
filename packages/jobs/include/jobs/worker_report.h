// A worker's answer to a hold order.

#ifndef JOBS_WORKER_REPORT_H_
#define JOBS_WORKER_REPORT_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "jobs/task_ref.h"

namespace azurespur::jobs {

struct RunningTask {
  TaskRef task;
  int32_t run = 0;
  std::string checkpoint;  // Empty: none.
  int32_t percent = 0;     // Progress.
};

enum class EndCause {
  kDone,
  kFailed,
  kStopped,
  kLeaseExpired,
  kGangBroken,      // Another member of the gang ended.
  kGangIncomplete,  // The other members did not start in time.
};

struct EndedTask {
  int64_t number = 0;  // Counts up from 1 in each boot of the worker.
  TaskRef task;
  int32_t run = 0;
  EndCause cause = EndCause::kStopped;
  std::string checkpoint;  // Empty: none.
};

struct WorkerReport {
  int64_t clock_ms = 0;  // The worker's clock, on which leases are expressed.
  int64_t boot_unix_ms = 0;
  std::vector<RunningTask> running;
  std::vector<EndedTask> ended;
  // Not all ends were listed: a run that is in neither list may have ended.
  bool more_ends = false;
};

std::string_view EndCauseName(EndCause cause);

}  // namespace azurespur::jobs

#endif  // JOBS_WORKER_REPORT_H_
