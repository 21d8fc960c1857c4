// Token-bucket rate limiter.

#ifndef FILTERS_TOKEN_BUCKET_H_
#define FILTERS_TOKEN_BUCKET_H_

#include "base/clock.h"

namespace azurespur::filters {

struct TokenBucket {
  double tokens = 0;
  base::MonoTime last_refill{};
};

struct TokenRate {
  double per_second = 0;
  double burst = 1;  // Bucket capacity; at least 1.
};

// Takes one token and returns zero, or takes none and returns the time until
// one is available. A new bucket is full.
base::Micros TakeToken(TokenBucket& bucket,
                       const TokenRate& rate,
                       base::MonoTime now);

}  // namespace azurespur::filters

#endif  // FILTERS_TOKEN_BUCKET_H_
