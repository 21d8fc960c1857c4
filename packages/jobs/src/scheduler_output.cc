#include "jobs/scheduler_output.h"

namespace azurespur::jobs {

void AddRecord(SchedulerOutput& out,
               const WorkRecord& record,
               const WorkerBoot& worker,
               int64_t end_number) {
  out.records.push_back({record, worker, end_number});
}

}  // namespace azurespur::jobs
