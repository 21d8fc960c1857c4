#include "base/clock.h"

#include <ctime>

namespace azurespur::base {

namespace {

class OsClock : public Clock {
 public:
  MonoTime Now() const override {
    return std::chrono::time_point_cast<Micros>(
        std::chrono::steady_clock::now());
  }

  int64_t WallMillis() const override {
    const auto since_epoch =
        std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<Millis>(since_epoch).count();
  }
};

class BootTimeClock : public OsClock {
 public:
  MonoTime Now() const override {
    timespec time{};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return MonoTime{std::chrono::duration_cast<Micros>(
        std::chrono::seconds{time.tv_sec} +
        std::chrono::nanoseconds{time.tv_nsec})};
  }
};

}  // namespace

const Clock& SuspendAwareClock() {
  static const BootTimeClock clock;
  return clock;
}

const Clock& SystemClock() {
  static const OsClock clock;
  return clock;
}

int64_t MillisBetween(MonoTime from, MonoTime to) {
  return std::chrono::duration_cast<Millis>(to - from).count();
}

}  // namespace azurespur::base
