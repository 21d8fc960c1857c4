// The client accounts that the operators' policy names.

#ifndef JOBS_CLIENT_ACCOUNT_H_
#define JOBS_CLIENT_ACCOUNT_H_

#include <string>

#include "placement/resources.h"

namespace azurespur::jobs {

struct ClientAccount {
  std::string name;
  // Share of the cell's capacity while work waits, relative to other accounts.
  double weight = 1;
  // Submissions a second beyond which jobs are served last; 0: no limit.
  double submissions_per_s = 0;
  // What the account may have running in all; 0 of a resource: no limit.
  placement::Resources cap;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(name, weight, submissions_per_s, cap.cpu_millis, cap.memory_mb,
            cap.accelerators);
  }
};

// A key that callers authenticate with. Never logged.
struct AccessKey {
  std::string secret;
  std::string account;  // Name of the account that it belongs to.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(secret, account);
  }
};

}  // namespace azurespur::jobs

#endif  // JOBS_CLIENT_ACCOUNT_H_
