// Counts of the work that plans did.

#ifndef JOBS_PLAN_COUNTS_H_
#define JOBS_PLAN_COUNTS_H_

#include <cstdint>

namespace azurespur::jobs {

struct PlanCounts {
  int64_t full_plans = 0;
  int64_t steps_planned = 0;
  // Workers looked at when tasks were placed and advice was requested.
  int64_t workers_examined = 0;
  int64_t tasks_placed = 0;
};

}  // namespace azurespur::jobs

#endif  // JOBS_PLAN_COUNTS_H_
