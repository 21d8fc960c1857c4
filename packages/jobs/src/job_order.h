// The order in which ready steps are placed.

#ifndef JOBS_SRC_JOB_ORDER_H_
#define JOBS_SRC_JOB_ORDER_H_

#include <cstddef>
#include <cstdint>

#include "jobs/job_table.h"
#include "jobs/queue_policy.h"
#include "jobs/run_times.h"
#include "jobs/scheduler.h"

namespace azurespur::jobs {

// A job that takes longer than this many times its objective has no value.
inline constexpr int64_t kUsefulObjectives = 3;

// Returns the longest chain of expected times over the steps of the job, or of
// the declared ones if `times` is null.
int64_t LongestChainMs(const JobSpec& spec, const RunTimes* times = nullptr);

// Returns the time after its submission within which a job should complete.
int64_t ObjectiveMs(int64_t longest_chain_ms, const QueueTerms& terms);

// Returns the time left before the job would miss its objective if `step`
// started at `unix_ms` and took the expected times of `times`, or the declared
// ones if it is null. Negative: the job will be late. The same times count for
// the objective.
int64_t SlackMs(const Job& job,
                const QueueTerms& terms,
                size_t step,
                int64_t unix_ms,
                const RunTimes* times = nullptr);

// Sorts steps of urgent queues first, then steps that can still meet their
// objective, then late ones; within each group by ascending slack.
bool StartsBefore(const ReadyStep& a, const ReadyStep& b);

// Where the policy names accounts: sorts by turn, then as StartsBefore() does,
// but late steps by the end of their usefulness, and steps that are past it by
// age.
bool StartsBeforeByTurn(const ReadyStep& a, const ReadyStep& b);

}  // namespace azurespur::jobs

#endif  // JOBS_SRC_JOB_ORDER_H_
