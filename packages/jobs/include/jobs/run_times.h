// Expected run times of tasks, from finished tasks of the same step or from
// former steps of the queue. Does no I/O and reads no clock.

#ifndef JOBS_RUN_TIMES_H_
#define JOBS_RUN_TIMES_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "jobs/task_ref.h"
#include "jobs/worker_speeds.h"
#include "placement/job_statistics.h"
#include "placement/string_hash.h"

namespace azurespur::jobs {

// A run that ended as done.
struct FinishedRun {
  StepRef step;
  std::string_view queue;
  std::string_view worker;  // Id.
  int64_t run_ms = 0;
  int64_t declared_ms = 0;  // The step's estimate; 0: none.
  int32_t step_tasks = 0;   // Number of tasks of the step.
  // All members run at the pace of the slowest one, so they tell nothing of
  // their own workers.
  bool gang = false;
};

class RunTimes {
 public:
  static constexpr size_t kMaxSteps = 4096;
  static constexpr size_t kMaxQueues = 2048;

  RunTimes() : m_ratios(kMaxQueues) {}

  void Observe(const FinishedRun& run, base::MonoTime now);

  // Compares runs with their siblings, each corrected by its worker's estimate,
  // and adds the results to `speeds`. A run waits for its siblings for a
  // second, since those that end first are compared with fast ones only.
  void Compare(WorkerSpeeds& speeds, base::MonoTime now);

  // Returns the expected time of a task of the step on a worker of median
  // speed: the median of its finished siblings; else the declared time by the
  // queue's former ratio; else the declared time.
  int64_t ExpectedMs(const StepRef& step,
                     std::string_view queue,
                     int64_t declared_ms) const;

  // Removes the steps of jobs that are over, where some tasks were not
  // observed.
  void RemoveSteps(const std::function<bool(JobId)>& is_over);

  size_t step_count() const { return m_steps.size(); }

 private:
  struct SiblingRun {
    std::string worker;
    double log_ms = 0;
    bool compared = false;
  };
  struct Step {
    std::string queue;
    int64_t declared_ms = 0;
    int32_t tasks = 0;
    int32_t ended = 0;
    bool gang = false;
    std::vector<SiblingRun> runs;  // The latest ones.
    size_t next = 0;               // To be replaced in `runs` once it is full.
    base::MonoTime oldest_pending{};
    size_t pending = 0;               // Runs that are not compared.
    std::optional<double> median_ms;  // Of corrected times.
    std::list<StepRef>::iterator recency;
  };

  Step& Touch(const FinishedRun& run);
  std::map<StepRef, Step>::iterator Remove(
      std::map<StepRef, Step>::iterator step);
  void CompareStep(Step& step, WorkerSpeeds& speeds, base::MonoTime now);
  void RecordRatio(const Step& step);

  std::map<StepRef, Step> m_steps;
  std::list<StepRef> m_recency;  // The most recently observed first.
  // Ratio of actual to declared time in thousandths, of steps of each queue.
  placement::JobStatistics m_ratios;
  // The medians of `m_ratios`.
  placement::StringMap<double> m_ratio_of_queue;
};

}  // namespace azurespur::jobs

#endif  // JOBS_RUN_TIMES_H_
