// Tells workers that fail what they start from jobs that fail wherever they
// start.

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
  // Different jobs that must fail on a worker, with none that starts between,
  // to quarantine it.
  size_t jobs_to_quarantine = 3;
  // Different healthy workers on which a job must fail, starting on none, to
  // fail it. A worker is healthy if other jobs start on it and none fails.
  size_t healthy_workers_to_fail_job = 4;
  // The same for workers of whatever health, for a cell where nothing starts.
  size_t workers_to_fail_job = 12;
  // Largest share of the workers in quarantine at a time; at least one worker.
  double quarantine_share = 0.1;
  int64_t initial_quarantine_ms = 30'000;
  int64_t max_quarantine_ms = 3'600'000;
};

// What a failed start leads to.
struct HealthVerdict {
  bool quarantine_worker = false;
  // Quarantine is due, but its budget is used up.
  bool over_budget = false;
  // Set if the job is to be failed.
  std::optional<std::string> fail_job_reason;
  // Workers out of quarantine, because the job was to blame.
  std::vector<std::string> released_workers;
};

// Not thread-safe.
class WorkerHealth {
 public:
  explicit WorkerHealth(const HealthLimits& limits = {});

  // The quarantine budget is a share of this.
  void SetWorkerCount(size_t workers) { m_worker_count = workers; }

  HealthVerdict RecordFailure(std::string_view worker,
                              const JobKey& job,
                              int64_t now_ms);

  // Ends a quarantine.
  void RecordSuccess(std::string_view worker, const JobKey& job);

  void ForgetWorker(std::string_view worker);

  // Forgets a job that has ended, been failed or been cancelled.
  void ForgetJob(const JobKey& job);

  bool IsQuarantined(std::string_view worker) const;

  // Quarantined workers whose time is up: each may get one task as a probe. The
  // next time is twice as far away, so a lost probe is made good by the next.
  std::vector<std::string> TakeDueProbes(int64_t now_ms);

  size_t QuarantinedCount() const { return m_quarantined; }
  size_t QuarantineBudget() const;

 private:
  struct Worker {
    // Jobs that failed here since the last success, at most
    // `jobs_to_quarantine`.
    std::vector<JobKey> failed_jobs;
    bool has_started_tasks = false;
    bool quarantined = false;
    int64_t backoff_ms = 0;
    int64_t probe_at_ms = 0;
  };

  struct Job {
    // Workers where it failed since its last success, at most
    // `workers_to_fail_job`.
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
