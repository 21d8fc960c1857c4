#include "base/link_queue.h"

#include <doctest/doctest.h>

namespace azurespur::base {

namespace {

struct TestClock : Clock {
  MonoTime Now() const override { return now; }
  int64_t WallMillis() const override { return 0; }

  MonoTime now{Millis{1000}};
};

}  // namespace

TEST_CASE("bytes wait for those that were sent before") {
  TestClock clock;
  LinkQueue queue(2, clock);  // 250 bytes a millisecond.
  CHECK(queue.Wait() == Micros{0});
  CHECK(queue.Add(25000) == Micros{0});
  CHECK(queue.Add(25000) == Millis{100});
  CHECK(queue.Wait() == Millis{200});
  clock.now += Millis{150};
  CHECK(queue.Wait() == Millis{50});
  clock.now += Millis{1000};
  CHECK(queue.Wait() == Micros{0});
  CHECK(queue.Add(250) == Micros{0});
  CHECK(queue.Wait() == Millis{1});
}

TEST_CASE("a link of unknown rate never makes bytes wait") {
  TestClock clock;
  LinkQueue queue(0, clock);
  CHECK(queue.Add(1 << 30) == Micros{0});
  CHECK(queue.Wait() == Micros{0});
}

TEST_CASE("the wait is bounded, as the network drops what is beyond") {
  TestClock clock;
  LinkQueue queue(2, clock);
  queue.Add(1 << 30);
  CHECK(queue.Wait() == Millis{2000});
}

}  // namespace azurespur::base
