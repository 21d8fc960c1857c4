// The jobs of a crest: three queues with their shares, sizes and advice.

#ifndef BENCH_JOBS_CREST_LOAD_H_
#define BENCH_JOBS_CREST_LOAD_H_

#include <cstdint>
#include <random>
#include <string>

#include "jobs/job_spec.h"
#include "jobs/queue_policy.h"
#include "jobs/task_ref.h"

namespace azurespur::jobs {

class CrestLoad {
 public:
  explicit CrestLoad(uint64_t seed) : m_random(seed) {}

  static CellPolicy Policy();

  JobSpec NextJob(JobId id, int64_t unix_ms);

  // Returns the time that a task of the step takes.
  int64_t NextDurationMs(const StepSpec& step);

  // Tells whether the advice service allows the worker to run the step.
  static bool IsEligible(const std::string& queue,
                         const StepRef& step,
                         const std::string& worker);

 private:
  double Spread(double mean, double spread, double max);

  std::mt19937_64 m_random;
};

}  // namespace azurespur::jobs

#endif  // BENCH_JOBS_CREST_LOAD_H_
