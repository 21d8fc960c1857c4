// Attributes start failures either to a faulty worker, which is quarantined, or
// to a faulty job, which is failed.

#ifndef PLACEMENT_WORKER_HEALTH_H_
#define PLACEMENT_WORKER_HEALTH_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "placement/job_key.h"
#include "placement/string_hash.h"

namespace azurespur::placement {

struct HealthLimits {
  // A worker is quarantined after this many different jobs failed to start on
  // it without a successful start in between.
  size_t jobs_to_quarantine = 3;
  // A job is failed after it failed to start on this many different healthy
  // workers and started on none. A worker is healthy for this purpose if it has
  // started tasks and no other job has failed on it since.
  size_t healthy_workers_to_fail_job = 4;
  // The same for workers in any state. Covers a cell where no task starts, so
  // that no worker counts as healthy.
  size_t workers_to_fail_job = 12;
  // Largest share of the workers that may be quarantined at the same time. At
  // least one worker may always be quarantined.
  double quarantine_share = 0.1;
  int64_t initial_quarantine_ms = 30'000;
  int64_t max_quarantine_ms = 3'600'000;
};

// Actions that follow from a failed start.
struct HealthVerdict {
  bool quarantine_worker = false;
  // The worker should be quarantined, but the quarantine budget is exhausted.
  bool over_budget = false;
  // Set if the job must be failed.
  std::optional<std::string> fail_job_reason;
  // Workers released from quarantine, because their failures were caused by the
  // job that is failed now.
  std::vector<std::string> released_workers;
};

// Not thread-safe.
class WorkerHealth {
 public:
  explicit WorkerHealth(const HealthLimits& limits = {});

  // Sets the worker count from which QuarantineBudget() is computed.
  void SetWorkerCount(size_t workers) { m_worker_count = workers; }

  HealthVerdict RecordFailure(std::string_view worker,
                              const JobKey& job,
                              int64_t now_ms);

  // Releases the worker from quarantine and clears the failures recorded for
  // the worker and for the job.
  void RecordSuccess(std::string_view worker, const JobKey& job);

  void ForgetWorker(std::string_view worker);

  // Drops the failure history of a job that ended, failed or was cancelled.
  void ForgetJob(const JobKey& job);

  bool IsQuarantined(std::string_view worker) const;

  // Returns the quarantined workers that are due for a probe, that is, may be
  // given one task. Doubles the time to the next probe of each, so a probe
  // whose outcome is never reported is followed by another one.
  std::vector<std::string> TakeDueProbes(int64_t now_ms);

  size_t QuarantinedCount() const { return m_quarantined; }

  // Largest number of workers that may be quarantined at the same time.
  size_t QuarantineBudget() const;

 private:
  struct Worker {
    // Different jobs that failed to start on this worker since the last
    // successful start, at most `jobs_to_quarantine`.
    std::vector<JobKey> failed_jobs;
    bool has_started_tasks = false;
    bool quarantined = false;
    int64_t backoff_ms = 0;
    int64_t probe_at_ms = 0;
  };

  struct Job {
    // Different workers on which the job failed to start since its last
    // successful start, at most `workers_to_fail_job`.
    std::vector<std::string> failed_workers;
  };

  void Quarantine(Worker& worker, int64_t now_ms);
  void ExtendQuarantine(Worker& worker, int64_t now_ms);
  bool IsHealthyExcept(std::string_view worker, const JobKey& job) const;
  bool IsJobAtFault(const JobKey& key, const Job& job) const;
  HealthVerdict FailJob(const JobKey& key, const Job& job);
  HealthVerdict EvaluateWorker(Worker& worker, int64_t now_ms);
  void Release(Worker& worker);

  HealthLimits m_limits;
  size_t m_worker_count = 0;
  size_t m_quarantined = 0;
  StringMap<Worker> m_workers;
  std::unordered_map<JobKey, Job, JobKeyHash> m_jobs;
};

}  // namespace azurespur::placement

#endif  // PLACEMENT_WORKER_HEALTH_H_
