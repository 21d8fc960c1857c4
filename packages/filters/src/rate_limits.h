// Request rates of the allowances, on this VM.

#ifndef FILTERS_RATE_LIMITS_H_
#define FILTERS_RATE_LIMITS_H_

#include <cstddef>
#include <map>
#include <optional>
#include <string>

#include "base/clock.h"
#include "control/allowance.h"
#include "refusal.h"
#include "token_bucket.h"

namespace azurespur::filters {

class RateLimits {
 public:
  // Takes one request of the allowance, or refuses. The domain's rate is split
  // evenly over its `vms` live entry VMs. A rate of 0 allows nothing.
  std::optional<Refusal> Take(const control::Allowance& allowance,
                              size_t vms,
                              base::MonoTime now);

 private:
  std::map<std::string, TokenBucket, std::less<>> m_buckets;
};

}  // namespace azurespur::filters

#endif  // FILTERS_RATE_LIMITS_H_
