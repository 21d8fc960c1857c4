// What a step may use of each worker: its advice and the capacity that is not
// reserved for others. Workers are asked for in ascending order of their ids.

#ifndef JOBS_SRC_STEP_VIEW_H_
#define JOBS_SRC_STEP_VIEW_H_

#include <cstdint>
#include <vector>

#include "id_cursor.h"
#include "jobs/scheduler.h"

namespace azurespur::jobs {

class StepView {
 public:
  // `advice` is null if there are no answers.
  StepView(const ReadyStep& step, const AdviceTracker::StepAdvice* advice);

  // Capacity by worker id that the step must leave free.
  void AddKept(const IdCursor<placement::Resources>::Map& capacity);

  Eligibility EligibilityOf(const Worker& worker, base::MonoTime now);
  placement::Resources FreeCapacityFor(const Worker& worker);
  // Returns how many more tasks of the step the worker may take, regardless of
  // capacity.
  int64_t TasksLeft(const Worker& worker) const;
  // Returns how many more tasks of the step the worker can take.
  int64_t SlotsFor(const Worker& worker);

 private:
  const ReadyStep& m_step;
  IdCursor<WorkerAdvice> m_advice;
  std::vector<IdCursor<placement::Resources>> m_kept;
};

}  // namespace azurespur::jobs

#endif  // JOBS_SRC_STEP_VIEW_H_
