// The order in which ready steps get room.

#ifndef JOBS_SRC_JOB_ORDER_H_
#define JOBS_SRC_JOB_ORDER_H_

#include <cstddef>
#include <cstdint>

#include "jobs/job_table.h"
#include "jobs/queue_policy.h"
#include "jobs/scheduler.h"

namespace azurespur::jobs {

// Time to spare until the job's objective is missed, if `step` starts at
// `unix_ms` and the estimates hold. Negative: it will be late.
int64_t SlackMs(const Job& job,
                const QueuePolicy& policy,
                size_t step,
                int64_t unix_ms);

// Urgent queues go first; then the steps that can still meet their objective,
// least time to spare first; then the late ones.
bool StartsBefore(const ReadyStep& a, const ReadyStep& b);

}  // namespace azurespur::jobs

#endif  // JOBS_SRC_JOB_ORDER_H_
