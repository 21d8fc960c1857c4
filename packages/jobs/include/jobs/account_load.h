// How much of the cell each client account uses and waits for.

#ifndef JOBS_ACCOUNT_LOAD_H_
#define JOBS_ACCOUNT_LOAD_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "placement/resources.h"

namespace azurespur::jobs {

// Declared core-milliseconds of tasks that wait though their steps are ready.
// Without those too late to be useful.
struct WaitingWork {
  int64_t within_rate_core_ms = 0;
  int64_t beyond_rate_core_ms = 0;  // Of jobs beyond the account's rate.
};

struct AccountLoad {
  std::string account;  // Empty: the jobs without an account.
  double weight = 1;
  placement::Resources cap;  // 0 of a resource: no limit.
  // What the account could use while others use and wait for as much as they do
  // now, in each resource; at most its cap. Its fair share in a full cell, else
  // what it uses and waits for, and all that is spare.
  placement::Resources entitled;
  placement::Resources in_use;
  std::map<int32_t, WaitingWork> waiting;  // By priority of the queue.
  // Of all tasks that wait though their steps are ready.
  int64_t waiting_cpu_millis = 0;
  int64_t waiting_tasks = 0;
  int64_t running_tasks = 0;  // Tasks that count towards `in_use`.
};

// Sorted by account. Empty where the policy names no accounts.
using AccountLoads = std::vector<AccountLoad>;

}  // namespace azurespur::jobs

#endif  // JOBS_ACCOUNT_LOAD_H_
