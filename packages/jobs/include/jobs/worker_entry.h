// A worker's entry in the platform's directory.

#ifndef JOBS_WORKER_ENTRY_H_
#define JOBS_WORKER_ENTRY_H_

#include <string>
#include <vector>

#include "jobs/task_ref.h"
#include "placement/resources.h"

namespace azurespur::jobs {

struct WorkerEntry {
  WorkerBoot boot;
  std::string service;
  std::string address;  // "IP:PORT".
  std::string domain;   // Failure domain.
  std::string rack;
  std::vector<std::string> labels;
  placement::Resources capacity;
  bool draining = false;  // Takes no new tasks.
};

}  // namespace azurespur::jobs

#endif  // JOBS_WORKER_ENTRY_H_
