// Token bucket for the append rate of the log stand-in.

#ifndef STANDINS_APPEND_RATE_H_
#define STANDINS_APPEND_RATE_H_

#include "base/clock.h"

namespace azurespur::standins {

class AppendRate {
 public:
  // Holds at most a fifth of a second's appends.
  AppendRate(double appends_per_second, base::MonoTime now);

  // Takes one append, or returns false.
  bool Take(base::MonoTime now);

 private:
  const double m_rate;
  const double m_burst;
  double m_tokens;
  base::MonoTime m_filled_at;
};

}  // namespace azurespur::standins

#endif  // STANDINS_APPEND_RATE_H_
