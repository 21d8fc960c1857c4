// Random arrival times at a rate that swings.

#ifndef CLI_ARRIVALS_H_
#define CLI_ARRIVALS_H_

#include <cstdint>
#include <random>

#include "base/clock.h"

namespace azurespur::cli {

struct ArrivalOptions {
  double rate_per_s = 0;
  double swing = 1;  // Rate at the crest over the rate otherwise.
  base::Millis swing_period{2000};  // The crest is its second half.
  uint64_t seed = 1;
};

// Exponential gaps: a Poisson process whose rate follows the swing.
class Arrivals {
 public:
  explicit Arrivals(const ArrivalOptions& options);

  // Time of the next arrival, from the start of the run. Never decreases. Far
  // beyond any run if the rate is 0.
  base::Micros Next();

 private:
  double RateAt(base::Micros time) const;

  const ArrivalOptions m_options;
  std::mt19937_64 m_random;
  base::Micros m_time{0};
};

}  // namespace azurespur::cli

#endif  // CLI_ARRIVALS_H_
