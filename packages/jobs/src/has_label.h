// Labels that steps require of workers.

#ifndef JOBS_SRC_HAS_LABEL_H_
#define JOBS_SRC_HAS_LABEL_H_

#include <algorithm>
#include <string>

#include "jobs/worker_entry.h"

namespace azurespur::jobs {

// True if the worker has the label, or none is required.
inline bool HasLabel(const WorkerEntry& entry, const std::string& label) {
  return label.empty() || std::find(entry.labels.begin(), entry.labels.end(),
                                    label) != entry.labels.end();
}

}  // namespace azurespur::jobs

#endif  // JOBS_SRC_HAS_LABEL_H_
