// The operators' settings of the queues.

#ifndef JOBS_QUEUE_POLICY_H_
#define JOBS_QUEUE_POLICY_H_

#include <cereal/types/map.hpp>
#include <cereal/types/optional.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "jobs/client_account.h"

namespace azurespur::jobs {

// Cost of a call to the advice service, which tells which workers the queue's
// policy allows.
struct AdvicePolicy {
  double base_ms = 0;        // Fixed part of each call.
  double per_worker_ms = 0;  // Of each worker asked about.
  int64_t valid_ms = 0;      // Validity of a ticket.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(base_ms, per_worker_ms, valid_ms);
  }
};

// How the jobs of a queue are run.
struct QueueTerms {
  std::string service;   // Whose workers run the tasks.
  int32_t priority = 0;  // 0 is the most urgent.
  int32_t max_attempts = 1;
  // A job should complete within stretch * (longest chain of step estimates) +
  // target.
  double stretch = 1;
  int64_t target_ms = 0;               // See `stretch`.
  std::optional<AdvicePolicy> advice;  // None: any worker is allowed.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(service, priority, max_attempts, stretch, target_ms, advice);
  }
};

// The terms, and how a request finds the queue.
struct QueuePolicy : QueueTerms {
  std::string name;
  std::string host;
  std::string path_prefix;
  bool open_to_all = false;  // Calls need no access key.

  // For VMs that relay the policy; jobs are stored with QueueTerms alone.
  template <class Archive>
  void serialize(Archive& archive) {
    QueueTerms::serialize(archive);
    archive(name, host, path_prefix, open_to_all);
  }
};

struct CellPolicy {
  int64_t version = 0;                                     // 0: not read yet.
  std::map<std::string, QueuePolicy, std::less<>> queues;  // By name.
  // By name. Empty: calls need no access key, and nothing is shared out.
  std::map<std::string, ClientAccount, std::less<>> accounts;
  std::vector<AccessKey> keys;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(version, queues, accounts, keys);
  }
};

}  // namespace azurespur::jobs

#endif  // JOBS_QUEUE_POLICY_H_
