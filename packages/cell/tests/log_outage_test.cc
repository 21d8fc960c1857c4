#include "log_outage.h"

#include <doctest/doctest.h>

namespace azurespur::cell {

using base::Millis;
using base::MonoTime;

TEST_CASE("an outage lasts from the leader's first failure") {
  LogOutage outage;
  MonoTime now{Millis{1000}};
  CHECK(outage.Age(now) == Millis{0});
  outage.OnOwnState(false);
  outage.OnLeaderState(false, now);
  for (int i = 0; i < 30; ++i) {
    now += Millis{100};
    outage.OnLeaderState(false, now);
  }
  CHECK(outage.Age(now) == Millis{3000});
  outage.OnLeaderState(true, now);
  CHECK(outage.Age(now) == Millis{0});
}

TEST_CASE("a log that one VM can't reach is no outage of the cell") {
  LogOutage outage;
  MonoTime now{Millis{1000}};
  outage.OnOwnState(false);
  outage.OnLeaderState(true, now);
  CHECK(outage.Age(now + Millis{500}) == Millis{0});
  // The leader itself is turned away; this VM is not.
  outage.OnOwnState(true);
  outage.OnLeaderState(false, now);
  CHECK(outage.Age(now + Millis{500}) == Millis{0});
}

TEST_CASE("a leader that is no longer heard says nothing of the log") {
  LogOutage outage;
  MonoTime now{Millis{1000}};
  outage.OnOwnState(false);
  outage.OnLeaderState(false, now);
  CHECK(outage.Age(now + Millis{900}) == Millis{900});
  CHECK(outage.Age(now + Millis{1100}) == Millis{0});
}

}  // namespace azurespur::cell
