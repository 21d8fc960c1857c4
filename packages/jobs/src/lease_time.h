// Times of leases, which workers count on their own clocks.

#ifndef JOBS_SRC_LEASE_TIME_H_
#define JOBS_SRC_LEASE_TIME_H_

#include <cstdint>

#include "base/clock.h"

namespace azurespur::jobs {

// Slowest rate of a worker's clock relative to the leader's.
inline constexpr double kMinClockRate = 0.98;
inline constexpr base::Millis kLeaseMargin{150};
// An unanswered call may take effect at the worker up to this much later, and
// the worker may then count the call's lease from the arrival.
inline constexpr base::Millis kMaxOrderDelay{12500};

// Returns the longest time on the leader's clock in which the worker's clock
// may advance by `worker_ms`.
inline base::Millis ToLocalTime(int64_t worker_ms) {
  return base::Millis{
      static_cast<int64_t>(static_cast<double>(worker_ms) / kMinClockRate)};
}

// Returns the longest time on the leader's clock after which a lease of
// `lease` on the worker's clock is certainly over.
inline base::Millis LeaseBound(base::Millis lease) {
  return ToLocalTime(lease.count()) + kLeaseMargin;
}

}  // namespace azurespur::jobs

#endif  // JOBS_SRC_LEASE_TIME_H_
