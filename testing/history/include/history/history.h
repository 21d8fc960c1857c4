// All that was written down about one run of the system.

#ifndef HISTORY_HISTORY_H_
#define HISTORY_HISTORY_H_

#include <vector>

#include "history/executor_event.h"
#include "history/leaving_notice.h"
#include "history/list_sample.h"
#include "history/request_answer.h"
#include "history/task_answer.h"
#include "history/task_outcome.h"
#include "history/worker_event.h"

namespace azurespur::history {

// Events stand in the order of their times.
struct History {
  std::vector<WorkerEvent> worker_events;
  std::vector<ExecutorEvent> executor_events;
  std::vector<TaskAnswer> task_answers;
  std::vector<TaskOutcome> task_outcomes;
  std::vector<RequestAnswer> request_answers;
  std::vector<ListSample> list_samples;
  std::vector<LeavingNotice> leaving_notices;
};

}  // namespace azurespur::history

#endif  // HISTORY_HISTORY_H_
