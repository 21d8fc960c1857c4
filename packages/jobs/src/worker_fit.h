// Which workers may run the tasks of a step at all.

#ifndef JOBS_SRC_WORKER_FIT_H_
#define JOBS_SRC_WORKER_FIT_H_

#include <algorithm>

#include "jobs/job_spec.h"
#include "jobs/queue_policy.h"
#include "jobs/worker_entry.h"
#include "placement/resources.h"

namespace azurespur::jobs {

// True if the worker is of the queue's service, has the label that the step
// requires, and could hold one of its tasks if it were empty.
inline bool IsFit(const WorkerEntry& entry,
                  const QueueTerms& terms,
                  const StepSpec& spec) {
  const std::string& label = spec.required_label;
  const bool labelled =
      label.empty() || std::find(entry.labels.begin(), entry.labels.end(),
                                 label) != entry.labels.end();
  return entry.service == terms.service && labelled &&
         placement::Fits(spec.demand, entry.capacity);
}

}  // namespace azurespur::jobs

#endif  // JOBS_SRC_WORKER_FIT_H_
