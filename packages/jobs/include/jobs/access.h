// Identifies callers by their access keys, and tells which jobs they may use.

#ifndef JOBS_ACCESS_H_
#define JOBS_ACCESS_H_

#include <cstddef>
#include <string>
#include <string_view>

#include "jobs/queue_policy.h"

namespace azurespur::jobs {

// Longer keys are invalid, so that the cost of a comparison with all keys is
// bounded.
inline constexpr size_t kMaxSecretBytes = 512;

// On whose behalf a call is made.
struct Caller {
  // False if the policy names no accounts: then any caller may use any job.
  bool restricted = false;
  std::string account;  // Empty: none.
  // False if the caller's key can't be checked: then it may use no job.
  bool known = true;
};

// True if the caller may read, cancel or repeat a job of `job_account`. Jobs
// without an account are open to all known callers.
bool MayAccess(const Caller& caller, std::string_view job_account);

// Returns the account that the key `secret` belongs to, or null if the policy
// has no such key. The time taken depends on the length of `secret` and the
// number of keys only, so that it tells nothing about a key's text.
const ClientAccount* FindAccount(const CellPolicy& policy,
                                 std::string_view secret);

}  // namespace azurespur::jobs

#endif  // JOBS_ACCESS_H_
