// References to steps and tasks of a job, and to one boot of a worker.

#ifndef JOBS_TASK_REF_H_
#define JOBS_TASK_REF_H_

#include <compare>
#include <cstdint>
#include <string>

#include "jobs/job_id.h"

namespace azurespur::jobs {

struct StepRef {
  JobId job = 0;
  int32_t step = 0;

  // NOLINTNEXTLINE(modernize-use-nullptr): the check misreads `<=>`.
  friend auto operator<=>(const StepRef&, const StepRef&) = default;
};

struct TaskRef {
  JobId job = 0;
  int32_t step = 0;
  int32_t index = 0;

  // NOLINTNEXTLINE(modernize-use-nullptr): the check misreads `<=>`.
  friend auto operator<=>(const TaskRef&, const TaskRef&) = default;

  StepRef StepOf() const { return {job, step}; }

  template <class Archive>
  void serialize(Archive& archive) {
    archive(job, step, index);
  }
};

// One boot of a worker. A worker that restarts keeps its id and loses all its
// runs.
struct WorkerBoot {
  std::string id;
  int64_t boot_unix_ms = 0;

  // NOLINTNEXTLINE(modernize-use-nullptr): the check misreads `<=>`.
  friend auto operator<=>(const WorkerBoot&, const WorkerBoot&) = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(id, boot_unix_ms);
  }
};

// `JOB/STEP/INDEX`, for logs.
std::string ToString(const TaskRef& task);
std::string ToString(const StepRef& step);

}  // namespace azurespur::jobs

#endif  // JOBS_TASK_REF_H_
