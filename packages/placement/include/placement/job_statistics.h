// Run-time and resource-usage statistics of finished tasks, per plan and job.

#ifndef PLACEMENT_JOB_STATISTICS_H_
#define PLACEMENT_JOB_STATISTICS_H_

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <cstddef>
#include <cstdint>
#include <list>
#include <optional>
#include <unordered_map>

#include "placement/job_key.h"
#include "placement/resources.h"

namespace azurespur::placement {

struct JobEstimate {
  int64_t runs = 0;
  int64_t median_run_ms = 0;  // Median.
  int64_t p90_run_ms = 0;     // 90th percentile.
  // 95th percentile of the peak usage of a single member.
  Resources size;
};

// Streaming quantile estimates by the P-square algorithm (Jain and Chlamtac
// 1985). Tracks at most `max_jobs` jobs and evicts the least recently observed
// one when full.
class JobStatistics {
 public:
  explicit JobStatistics(size_t max_jobs);

  void ObserveRun(const JobKey& key, int64_t run_ms, const Resources& peak);

  std::optional<JobEstimate> Find(const JobKey& key) const;

  size_t size() const { return m_jobs.size(); }

 private:
  using Quantile = boost::accumulators::accumulator_set<
      double,
      boost::accumulators::stats<boost::accumulators::tag::p_square_quantile>>;

  struct Job {
    Job();

    int64_t runs = 0;
    int64_t longest_run_ms = 0;
    Resources largest;
    Quantile median_run;
    Quantile p90_run;
    Quantile cpu;
    Quantile memory;
    std::list<JobKey>::iterator recency;
  };

  Job& Touch(const JobKey& key);

  size_t m_max_jobs;
  std::unordered_map<JobKey, Job, JobKeyHash> m_jobs;
  // Least recently used order: the most recently observed job first.
  std::list<JobKey> m_recency;
};

// Upper estimate of a run's duration: the observed 90th percentile plus a
// margin. Empty until enough runs have been observed, because the run time that
// the caller declares is not a reliable bound.
std::optional<int64_t> RunTimeBound(const std::optional<JobEstimate>& estimate);

// Run time used to order the queue: the observed median if there is one, else
// `declared_ms` if positive, else a default.
int64_t ExpectedRunTime(const std::optional<JobEstimate>& estimate,
                        int64_t declared_ms);

// Resources to reserve for a member: per resource the larger of the declared
// size and the observed peak usage plus a margin.
Resources SizeToReserve(const std::optional<JobEstimate>& estimate,
                        const Resources& declared);

}  // namespace azurespur::placement

#endif  // PLACEMENT_JOB_STATISTICS_H_
