#include "stall_watch.h"

#include <doctest/doctest.h>

namespace azurespur::http {

using base::Millis;
using base::MonoTime;

// A response of 1 MB takes 0.8 s at 10 Mbit/s: a limit for the whole transfer
// ended each one before it was complete.
TEST_CASE("a transfer stalls only if nothing arrives for its timeout") {
  const MonoTime start{Millis{1000}};
  StallWatch<int> watch;
  watch.Add(1, Millis{500}, start);
  for (int ms = 0; ms < 3000; ms += 50) {
    watch.OnBytes(1, start + Millis{ms});
    CHECK(watch.Stalled(start + Millis{ms + 49}).empty());
  }
  const MonoTime last = start + Millis{2950};
  CHECK(watch.Stalled(last + Millis{499}).empty());
  CHECK(watch.Stalled(last + Millis{500}) == std::vector<int>{1});
}

TEST_CASE("the next deadline is that of the transfer that stalls first") {
  const MonoTime start{Millis{1000}};
  StallWatch<int> watch;
  CHECK_FALSE(watch.NextDeadline());
  watch.Add(1, Millis{500}, start);
  watch.Add(2, Millis{1400}, start);
  CHECK(watch.NextDeadline() == start + Millis{500});
  watch.OnBytes(1, start + Millis{1000});
  CHECK(watch.NextDeadline() == start + Millis{1400});
  watch.Remove(2);
  CHECK(watch.NextDeadline() == start + Millis{1500});
  watch.Remove(1);
  CHECK(watch.Stalled(start + Millis{9000}).empty());
}

}  // namespace azurespur::http
