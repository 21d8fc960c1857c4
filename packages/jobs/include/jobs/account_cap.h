// The caps of client accounts. Does no I/O and reads no clock.

#ifndef JOBS_ACCOUNT_CAP_H_
#define JOBS_ACCOUNT_CAP_H_

#include <cstddef>
#include <cstdint>
#include <optional>

#include "jobs/job_table.h"
#include "jobs/queue_policy.h"
#include "placement/resources.h"

namespace azurespur::jobs {

// Returns what an account with this cap may start beside `in_use`; negative in
// a resource of which it uses more than its cap.
placement::Resources RoomUnderCap(const placement::Resources& cap,
                                  const placement::Resources& in_use);

// Returns true if not even one task of the step, or not the whole gang, fits
// the cap while nothing else of the account runs.
bool NeverFitsCap(const StepSpec& step, const placement::Resources& cap);

// Returns the first unfinished step of the job that can never start under the
// cap that the policy sets for the job's account.
std::optional<size_t> FindStepBeyondCap(const Job& job,
                                        const CellPolicy& policy);

}  // namespace azurespur::jobs

#endif  // JOBS_ACCOUNT_CAP_H_
