#include "placement/worker_health.h"

#include <algorithm>

namespace azurespur::placement {
namespace {

constexpr int64_t kBackoffFactor = 2;

template <typename T>
void AddOnce(std::vector<T>& items, const T& item, size_t limit) {
  if (items.size() < limit &&
      std::find(items.begin(), items.end(), item) == items.end()) {
    items.push_back(item);
  }
}

}  // namespace

WorkerHealth::WorkerHealth(const HealthLimits& limits) : m_limits(limits) {}

size_t WorkerHealth::QuarantineBudget() const {
  const double share =
      static_cast<double>(m_worker_count) * m_limits.quarantine_share;
  return std::max<size_t>(static_cast<size_t>(share), 1);
}

HealthVerdict WorkerHealth::RecordFailure(std::string_view worker,
                                          const JobKey& job,
                                          int64_t now_ms) {
  Worker& found = m_workers.try_emplace(std::string(worker)).first->second;
  if (found.quarantined) {
    // A failed probe is not counted against the job.
    ExtendQuarantine(found, now_ms);
    return {};
  }
  Job& job_record = m_jobs[job];
  AddOnce(job_record.failed_workers, std::string(worker),
          m_limits.workers_to_fail_job);
  AddOnce(found.failed_jobs, job, m_limits.jobs_to_quarantine);
  if (IsJobAtFault(job, job_record)) {
    return FailJob(job, job_record);
  }
  return EvaluateWorker(found, now_ms);
}

HealthVerdict WorkerHealth::FailJob(const JobKey& key, const Job& job) {
  HealthVerdict verdict;
  verdict.fail_job_reason = "job \"" + key.job + "\" of plan \"" + key.plan +
                            "\" failed to start on " +
                            std::to_string(job.failed_workers.size()) +
                            " different workers and started on none";
  // The failures were caused by the job, so they no longer count against the
  // workers.
  for (auto& [id, worker] : m_workers) {
    std::erase(worker.failed_jobs, key);
    if (worker.quarantined &&
        worker.failed_jobs.size() < m_limits.jobs_to_quarantine) {
      Release(worker);
      verdict.released_workers.push_back(id);
    }
  }
  std::sort(verdict.released_workers.begin(), verdict.released_workers.end());
  return verdict;
}

HealthVerdict WorkerHealth::EvaluateWorker(Worker& worker, int64_t now_ms) {
  HealthVerdict verdict;
  if (worker.failed_jobs.size() < m_limits.jobs_to_quarantine) {
    return verdict;
  }
  if (m_quarantined >= QuarantineBudget()) {
    verdict.over_budget = true;
    return verdict;
  }
  Quarantine(worker, now_ms);
  verdict.quarantine_worker = true;
  return verdict;
}

void WorkerHealth::RecordSuccess(std::string_view worker, const JobKey& job) {
  m_jobs.erase(job);
  Worker& found = m_workers.try_emplace(std::string(worker)).first->second;
  found.failed_jobs.clear();
  found.has_started_tasks = true;
  Release(found);
}

void WorkerHealth::Release(Worker& worker) {
  if (worker.quarantined) {
    worker.quarantined = false;
    --m_quarantined;
  }
}

void WorkerHealth::ForgetWorker(std::string_view worker) {
  const auto found = m_workers.find(worker);
  if (found == m_workers.end()) {
    return;
  }
  Release(found->second);
  m_workers.erase(found);
}

void WorkerHealth::ForgetJob(const JobKey& job) {
  m_jobs.erase(job);
}

bool WorkerHealth::IsQuarantined(std::string_view worker) const {
  const auto found = m_workers.find(worker);
  return found != m_workers.end() && found->second.quarantined;
}

std::vector<std::string> WorkerHealth::TakeDueProbes(int64_t now_ms) {
  std::vector<std::string> due;
  for (auto& [id, worker] : m_workers) {
    if (worker.quarantined && worker.probe_at_ms <= now_ms) {
      due.push_back(id);
      ExtendQuarantine(worker, now_ms);
    }
  }
  std::sort(due.begin(), due.end());
  return due;
}

void WorkerHealth::Quarantine(Worker& worker, int64_t now_ms) {
  worker.quarantined = true;
  worker.backoff_ms = m_limits.initial_quarantine_ms;
  worker.probe_at_ms = now_ms + worker.backoff_ms;
  ++m_quarantined;
  // Failures on a quarantined worker no longer count against the jobs.
  for (const JobKey& job : worker.failed_jobs) {
    const auto job_record = m_jobs.find(job);
    if (job_record == m_jobs.end()) {
      continue;
    }
    std::erase_if(job_record->second.failed_workers,
                  [this](const std::string& id) { return IsQuarantined(id); });
  }
}

void WorkerHealth::ExtendQuarantine(Worker& worker, int64_t now_ms) {
  worker.backoff_ms =
      std::min(worker.backoff_ms * kBackoffFactor, m_limits.max_quarantine_ms);
  worker.probe_at_ms = now_ms + worker.backoff_ms;
}

bool WorkerHealth::IsHealthyExcept(std::string_view worker,
                                   const JobKey& job) const {
  const auto found = m_workers.find(worker);
  if (found == m_workers.end()) {
    return false;
  }
  const std::vector<JobKey>& failed = found->second.failed_jobs;
  return found->second.has_started_tasks && !found->second.quarantined &&
         std::all_of(failed.begin(), failed.end(),
                     [&job](const JobKey& other) { return other == job; });
}

bool WorkerHealth::IsJobAtFault(const JobKey& key, const Job& job) const {
  const std::vector<std::string>& workers = job.failed_workers;
  if (workers.size() >= m_limits.workers_to_fail_job) {
    return true;
  }
  const auto healthy = std::count_if(
      workers.begin(), workers.end(),
      [&](const std::string& worker) { return IsHealthyExcept(worker, key); });
  return static_cast<size_t>(healthy) >= m_limits.healthy_workers_to_fail_job;
}

}  // namespace azurespur::placement
