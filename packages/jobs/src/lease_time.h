// Times of leases, which workers count on their own clocks.

#ifndef JOBS_SRC_LEASE_TIME_H_
#define JOBS_SRC_LEASE_TIME_H_

#include <cstdint>

#include "base/clock.h"

namespace azurespur::jobs {

// Slowest rate of a worker's clock relative to the leader's.
inline constexpr double kMinClockRate = 0.98;
inline constexpr base::Millis kLeaseMargin{150};

// Returns the longest time on the leader's clock in which the worker's clock
// may advance by `worker_ms`.
inline base::Millis ToLocalTime(int64_t worker_ms) {
  return base::Millis{
      static_cast<int64_t>(static_cast<double>(worker_ms) / kMinClockRate)};
}

}  // namespace azurespur::jobs

#endif  // JOBS_SRC_LEASE_TIME_H_
