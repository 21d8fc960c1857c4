// Actions that the scheduler requests. The owner may execute them in any order,
// but must append the records in the order of `records`.

#ifndef JOBS_SCHEDULER_OUTPUT_H_
#define JOBS_SCHEDULER_OUTPUT_H_

#include <cstdint>
#include <vector>

#include "jobs/orders.h"
#include "jobs/records.h"

namespace azurespur::jobs {

// A record to append and, for an end that a worker reported, the worker and the
// number of the end in its list.
struct PendingRecord {
  WorkRecord record;
  WorkerBoot worker;
  int64_t end_number = 0;  // 0: not an end that a worker reported.
};

struct SchedulerOutput {
  std::vector<PendingRecord> records;
  std::vector<StartOrder> starts;
  std::vector<StopOrder> stops;
  std::vector<HoldOrder> holds;
  std::vector<AdviceQuery> queries;
  bool fenced = false;          // A worker has seen a later leader.
  bool fences_used_up = false;  // The term has no higher fencing token.
};

void AddRecord(SchedulerOutput& out,
               const WorkRecord& record,
               const WorkerBoot& worker = {},
               int64_t end_number = 0);

}  // namespace azurespur::jobs

#endif  // JOBS_SCHEDULER_OUTPUT_H_
