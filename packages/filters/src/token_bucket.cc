#include "token_bucket.h"

#include <algorithm>
#include <cmath>
#include <cstdint>

namespace azurespur::filters {

namespace {

constexpr double kMicrosPerSecond = 1e6;
constexpr base::Micros kMaxWait{3600LL * 1000 * 1000};

}  // namespace

base::Micros TakeToken(TokenBucket& bucket,
                       const TokenRate& rate,
                       base::MonoTime now) {
  const double burst = std::max(rate.burst, 1.0);
  if (bucket.last_refill == base::MonoTime{}) {
    bucket.tokens = burst;
  } else if (now > bucket.last_refill) {
    const double elapsed =
        static_cast<double>((now - bucket.last_refill).count()) /
        kMicrosPerSecond;
    bucket.tokens = std::min(burst, bucket.tokens + elapsed * rate.per_second);
  }
  bucket.last_refill = std::max(bucket.last_refill, now);
  if (bucket.tokens >= 1) {
    bucket.tokens -= 1;
    return base::Micros(0);
  }
  if (rate.per_second <= 0) {
    return kMaxWait;
  }
  const double wait = (1 - bucket.tokens) / rate.per_second * kMicrosPerSecond;
  const double max_wait = static_cast<double>(kMaxWait.count());
  return base::Micros(
      static_cast<int64_t>(std::ceil(std::min(wait, max_wait))));
}

}  // namespace azurespur::filters
