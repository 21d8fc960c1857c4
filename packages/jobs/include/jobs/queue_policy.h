// What operators say of a queue.

#ifndef JOBS_QUEUE_POLICY_H_
#define JOBS_QUEUE_POLICY_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace azurespur::jobs {

// Cost of asking which workers the queue's policy allows.
struct AdvicePolicy {
  double base_ms = 0;        // Of each call.
  double per_worker_ms = 0;  // Of each worker asked about.
  int64_t valid_ms = 0;      // Life of a ticket.
};

struct QueuePolicy {
  std::string name;
  std::string host;
  std::string path_prefix;
  std::string service;   // Whose workers run the tasks.
  int32_t priority = 0;  // 0 is the most urgent.
  int32_t max_attempts = 1;
  double stretch = 1;     // Objective: stretch x chain of work + target.
  int64_t target_ms = 0;  // See `stretch`.
  std::optional<AdvicePolicy> advice;  // Empty: any worker is allowed.
};

struct CellPolicy {
  int64_t version = 0;                                     // 0: none read yet.
  std::map<std::string, QueuePolicy, std::less<>> queues;  // By name.
};

}  // namespace azurespur::jobs

#endif  // JOBS_QUEUE_POLICY_H_
