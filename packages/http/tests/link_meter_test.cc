#include "link_meter.h"

#include <doctest/doctest.h>

namespace azurespur::http {

using base::Millis;
using base::MonoTime;

namespace {

// Lets bytes arrive for a second and tells whether the link is full then.
bool IsFullAt(LinkMeter& link, size_t bytes_per_milli) {
  MonoTime now{Millis{1000}};
  for (int ms = 0; ms < 1000; ++ms) {
    now += Millis{1};
    link.OnBytes(bytes_per_milli, now);
  }
  return link.IsFull(now);
}

}  // namespace

TEST_CASE("a link is full while nearly its rate arrives") {
  LinkMeter link(10);
  CHECK(IsFullAt(link, 1200));
}

// A leader at the peak has reports arrive all the time, and must notice a
// silent worker all the same.
TEST_CASE("a link that is used by half is not full") {
  LinkMeter link(10);
  CHECK_FALSE(IsFullAt(link, 625));
}

TEST_CASE("a link is not full any more soon after the last bytes") {
  LinkMeter link(10);
  CHECK(IsFullAt(link, 1200));
  CHECK_FALSE(link.IsFull(MonoTime{Millis{2100}}));
}

TEST_CASE("a link whose rate is unknown is never full") {
  LinkMeter link;
  CHECK_FALSE(IsFullAt(link, 1000000));
}

}  // namespace azurespur::http
