#include "placement/job_statistics.h"

#include <algorithm>
#include <cmath>

namespace azurespur::placement {
namespace {

constexpr double kMedianQuantile = 0.5;
constexpr double kLongRunQuantile = 0.9;
constexpr double kPeakUsageQuantile = 0.95;

// P-square interpolates between five markers. With fewer runs the largest
// observed value is used instead.
constexpr int64_t kMinQuantileRuns = 5;

constexpr double kRunTimeMargin = 1.5;
constexpr double kSizeMargin = 1.2;
constexpr int64_t kDefaultRunMillis = 60'000;

int64_t RoundUp(double value) {
  return static_cast<int64_t>(std::ceil(value));
}

}  // namespace

JobStatistics::Job::Job()
    : median_run(boost::accumulators::quantile_probability = kMedianQuantile),
      p90_run(boost::accumulators::quantile_probability = kLongRunQuantile),
      cpu(boost::accumulators::quantile_probability = kPeakUsageQuantile),
      memory(boost::accumulators::quantile_probability = kPeakUsageQuantile) {}

JobStatistics::JobStatistics(size_t max_jobs)
    : m_max_jobs(std::max<size_t>(max_jobs, 1)) {}

void JobStatistics::ObserveRun(const JobKey& key,
                               int64_t run_ms,
                               const Resources& peak) {
  Job& job = Touch(key);
  ++job.runs;
  job.longest_run_ms = std::max(job.longest_run_ms, run_ms);
  job.largest = Max(job.largest, peak);
  job.median_run(static_cast<double>(run_ms));
  job.p90_run(static_cast<double>(run_ms));
  job.cpu(static_cast<double>(peak.cpu_millis));
  job.memory(static_cast<double>(peak.memory_mb));
}

JobStatistics::Job& JobStatistics::Touch(const JobKey& key) {
  const auto found = m_jobs.find(key);
  if (found != m_jobs.end()) {
    m_recency.splice(m_recency.begin(), m_recency, found->second.recency);
    return found->second;
  }
  if (m_jobs.size() >= m_max_jobs) {
    m_jobs.erase(m_recency.back());
    m_recency.pop_back();
  }
  m_recency.push_front(key);
  Job& job = m_jobs[key];
  job.recency = m_recency.begin();
  return job;
}

std::optional<JobEstimate> JobStatistics::Find(const JobKey& key) const {
  using boost::accumulators::p_square_quantile;
  const auto found = m_jobs.find(key);
  if (found == m_jobs.end()) {
    return std::nullopt;
  }
  const Job& job = found->second;
  JobEstimate estimate;
  estimate.runs = job.runs;
  if (job.runs < kMinQuantileRuns) {
    estimate.median_run_ms = job.longest_run_ms;
    estimate.p90_run_ms = job.longest_run_ms;
    estimate.size = job.largest;
    return estimate;
  }
  estimate.median_run_ms = RoundUp(p_square_quantile(job.median_run));
  estimate.p90_run_ms = RoundUp(p_square_quantile(job.p90_run));
  estimate.size = {RoundUp(p_square_quantile(job.cpu)),
                   RoundUp(p_square_quantile(job.memory)),
                   job.largest.accelerators};
  return estimate;
}

std::optional<int64_t> RunTimeBound(
    const std::optional<JobEstimate>& estimate) {
  if (!estimate || estimate->runs < kMinQuantileRuns) {
    return std::nullopt;
  }
  return RoundUp(static_cast<double>(estimate->p90_run_ms) * kRunTimeMargin);
}

int64_t ExpectedRunTime(const std::optional<JobEstimate>& estimate,
                        int64_t declared_ms) {
  if (estimate) {
    return std::max<int64_t>(estimate->median_run_ms, 1);
  }
  return declared_ms > 0 ? declared_ms : kDefaultRunMillis;
}

Resources SizeToReserve(const std::optional<JobEstimate>& estimate,
                        const Resources& declared) {
  if (!estimate) {
    return declared;
  }
  const Resources raised = {
      RoundUp(static_cast<double>(estimate->size.cpu_millis) * kSizeMargin),
      RoundUp(static_cast<double>(estimate->size.memory_mb) * kSizeMargin),
      estimate->size.accelerators};
  return Max(declared, raised);
}

}  // namespace azurespur::placement
