#include "rate_limits.h"

#include <algorithm>

namespace azurespur::filters {

std::optional<Refusal> RateLimits::Take(const control::Allowance& allowance,
                                        size_t vms,
                                        base::MonoTime now) {
  const auto share = static_cast<double>(std::max<size_t>(vms, 1));
  const TokenRate rate{allowance.requests_per_s / share,
                       static_cast<double>(allowance.burst) / share};
  const base::Micros wait = TakeToken(m_buckets[allowance.id], rate, now);
  if (wait.count() == 0) {
    return std::nullopt;
  }
  Refusal refusal;
  refusal.status = 429;
  refusal.error = "over_rate";
  refusal.reason = "allowance \"" + allowance.id + "\" allows " +
                   std::to_string(allowance.requests_per_s) +
                   " requests/s in this domain";
  refusal.retry_after = std::chrono::ceil<base::Millis>(wait);
  return refusal;
}

}  // namespace azurespur::filters
