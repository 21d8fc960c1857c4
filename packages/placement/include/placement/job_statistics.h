// Run times and sizes learned from finished tasks, per plan and job.

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
  // 95th percentile of the peak usage of one member.
  Resources size;
};

// Streaming quantiles by the P-square algorithm (Jain and Chlamtac 1985). Keeps
// at most `max_jobs` jobs; the one not observed for longest is dropped first.
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
  // Most recently observed first.
  std::list<JobKey> m_recency;
};

// Time by which a run that starts now has very likely ended, counted from its
// start: the seen 90th percentile with a margin. Empty until enough runs were
// seen, because the caller's own expectation is no bound.
std::optional<int64_t> RunTimeBound(const std::optional<JobEstimate>& estimate);

// Expected run time for ordering: seen if known, else `declared_ms`, else a
// default.
int64_t ExpectedRunTime(const std::optional<JobEstimate>& estimate,
                        int64_t declared_ms);

// Size to reserve for a member: never below the declared size, raised to what
// was seen with a margin.
Resources SizeToReserve(const std::optional<JobEstimate>& estimate,
                        const Resources& declared);

}  // namespace azurespur::placement

#endif  // PLACEMENT_JOB_STATISTICS_H_
