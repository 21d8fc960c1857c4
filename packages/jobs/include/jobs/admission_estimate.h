// Estimates how long a new job of each client account would wait for its first
// start, and decides which submissions are refused under overload. Does no I/O
// and reads no clock.

#ifndef JOBS_ADMISSION_ESTIMATE_H_
#define JOBS_ADMISSION_ESTIMATE_H_

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "jobs/account_load.h"
#include "jobs/job_spec.h"
#include "jobs/queue_policy.h"

namespace azurespur::jobs {

// Waits up to this long are ordinary: advice, storing and sending a start take
// as long in a cell with free capacity.
inline constexpr int64_t kMinAdmissionWaitMs = 250;

// How long a job that is submitted now would wait. Valid for queues of this
// priority and for less urgent ones up to the account's next row.
struct AdmissionWait {
  std::string account;
  int32_t priority = 0;
  int64_t within_rate_ms = 0;
  int64_t beyond_rate_ms = 0;  // Of a job beyond the account's rate.

  friend bool operator==(const AdmissionWait&, const AdmissionWait&) = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(account, priority, within_rate_ms, beyond_rate_ms);
  }
};

// Returns the waits over kMinAdmissionWaitMs, sorted by account and priority.
// An account that gets all that it wants doesn't wait.
std::vector<AdmissionWait> EstimateWaits(std::span<const AccountLoad> loads);

// Returns the rows of `latest` that an earlier estimate has too, with the
// shorter wait. Work that has just arrived waits for the next plan in an idle
// cell too. Both are sorted.
std::vector<AdmissionWait> FindLastingWaits(
    std::span<const AdmissionWait> earlier,
    std::span<const AdmissionWait> latest);

enum class AdmissionRefusalReason {
  kBeyondRate,  // The account waits, and the job is beyond its rate.
  kTooLate,     // The job would start too late to be useful.
};

// `beyond_rate` or `too_late`.
std::string_view AdmissionRefusalReasonName(AdmissionRefusalReason reason);

struct AdmissionRefusal {
  AdmissionRefusalReason reason = AdmissionRefusalReason::kBeyondRate;
  int64_t wait_ms = 0;   // That the job would have.
  int64_t bound_ms = 0;  // The longest wait with which it would be accepted.
  int64_t retry_after_s = 1;
};

// The longest wait after which a job is still useful: it ends within three
// times its objective if its steps take as long as estimated.
int64_t MaxUsefulWaitMs(const JobSpec& spec, const QueueTerms& terms);

// Returns nothing if the job is to be accepted. `wait` is the row for its
// account and priority, null if there is none.
std::optional<AdmissionRefusal> DecideAdmission(const JobSpec& spec,
                                                const QueueTerms& terms,
                                                bool beyond_rate,
                                                const AdmissionWait* wait);

// The answer's Retry-After for a retry that is useful after `useful_after_ms`.
int64_t RetryAfterSeconds(int64_t useful_after_ms, JobId job);

}  // namespace azurespur::jobs

#endif  // JOBS_ADMISSION_ESTIMATE_H_
