// Service times of an executor: log-normal around a median, with stragglers.

#ifndef STANDINS_SERVICE_TIMES_H_
#define STANDINS_SERVICE_TIMES_H_

#include <cstdint>
#include <random>

#include "base/clock.h"

namespace azurespur::standins {

struct ServiceTimeOptions {
  double median_ms = 5;
  double straggler_share = 0;
  double straggler_factor = 50;
};

class ServiceTimes {
 public:
  ServiceTimes(const ServiceTimeOptions& options, uint64_t seed);

  base::Micros Next();

  // True with the given probability.
  bool Happens(double share);

 private:
  const ServiceTimeOptions m_options;
  std::mt19937_64 m_random;
};

}  // namespace azurespur::standins

#endif  // STANDINS_SERVICE_TIMES_H_
