// A job as a caller submits it: a list of steps, each with identical tasks.

#ifndef JOBS_JOB_SPEC_H_
#define JOBS_JOB_SPEC_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "jobs/job_id.h"
#include "placement/resources.h"

namespace azurespur::jobs {

inline constexpr size_t kMaxSteps = 64;
inline constexpr int32_t kMaxTasksPerStep = 5000;

struct StepSpec {
  int32_t count = 0;            // Number of tasks.
  placement::Resources demand;  // Of each task.
  int64_t estimate_ms = 0;      // Of a task's run time; may be far off.
  std::vector<int32_t> after;   // Steps that must be done before.
  bool gang = false;            // All tasks run together or none runs.
  bool one_rack = false;        // Runs slower when spread over racks.
  bool idempotent = false;      // Several copies of a task may run at once.
  bool checkpointing = false;
  std::string required_label;  // Empty: any worker.
  std::string preferred_rack;  // Empty: any rack.
  int32_t max_per_worker = 0;  // 0: no limit.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(count, demand.cpu_millis, demand.memory_mb, demand.accelerators,
            estimate_ms, after, gang, one_rack, idempotent, checkpointing,
            required_label, preferred_rack, max_per_worker);
  }
};

struct JobSpec {
  JobId id = 0;
  std::string queue;
  std::string payload;  // Passed to each task unchanged.
  std::vector<StepSpec> steps;
  int64_t submitted_unix_ms = 0;
  // Of the client account, when the job was accepted. Not part of the archive:
  // earlier releases store and read specs without them.
  std::string account;      // Empty: none.
  double account_rate = 0;  // Submissions a second; 0: no limit.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(id, queue, payload, steps, submitted_unix_ms);
  }
};

// True if the counts of steps and tasks are within their limits and each step
// follows earlier ones only.
bool IsValid(const JobSpec& spec);

}  // namespace azurespur::jobs

#endif  // JOBS_JOB_SPEC_H_
