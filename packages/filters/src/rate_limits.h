// This VM's share of the request rates of the allowances.

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
  // Counts one request against the allowance, or returns a refusal. The rate
  // for the domain is split evenly among its `vms` live entry VMs. A rate of 0
  // allows nothing.
  std::optional<Refusal> Take(const control::Allowance& allowance,
                              size_t vms,
                              base::MonoTime now);

 private:
  std::map<std::string, TokenBucket, std::less<>> m_buckets;
};

}  // namespace azurespur::filters

#endif  // FILTERS_RATE_LIMITS_H_
