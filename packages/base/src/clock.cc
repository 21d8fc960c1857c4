#include "base/clock.h"

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

}  // namespace

const Clock& SystemClock() {
  static const OsClock clock;
  return clock;
}

int64_t MillisBetween(MonoTime from, MonoTime to) {
  return std::chrono::duration_cast<Millis>(to - from).count();
}

}  // namespace azurespur::base
