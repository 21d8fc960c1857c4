// Time points and the clock interface. State machines get the time passed in;
// only threads read a clock.

#ifndef BASE_CLOCK_H_
#define BASE_CLOCK_H_

#include <chrono>
#include <cstdint>

namespace azurespur::base {

using Millis = std::chrono::milliseconds;
using Micros = std::chrono::microseconds;

// Monotonic time of this VM. Not comparable between VMs.
using MonoTime = std::chrono::time_point<std::chrono::steady_clock, Micros>;

class Clock {
 public:
  virtual ~Clock() = default;

  virtual MonoTime Now() const = 0;

  // Milliseconds since the Unix epoch, for logs and records only.
  virtual int64_t WallMillis() const = 0;
};

// The clock of the operating system. Lives for the whole process.
const Clock& SystemClock();

// As SystemClock(), but its monotonic time goes on while the VM is suspended.
// Leases are kept in it.
const Clock& SuspendAwareClock();

// Whole milliseconds from `from` to `to`, negative if `to` is earlier.
int64_t MillisBetween(MonoTime from, MonoTime to);

}  // namespace azurespur::base

#endif  // BASE_CLOCK_H_
