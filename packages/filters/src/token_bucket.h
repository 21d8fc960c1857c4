// Rate limit with a burst.

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
  double burst = 1;  // Most tokens held; at least 1.
};

// Takes one token. Returns zero, or the time until one is there; then none was
// taken. A new bucket is full.
base::Micros TakeToken(TokenBucket& bucket,
                       const TokenRate& rate,
                       base::MonoTime now);

}  // namespace azurespur::filters

#endif  // FILTERS_TOKEN_BUCKET_H_
