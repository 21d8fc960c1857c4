#include "log_timing.h"

#include <doctest/doctest.h>

namespace azurespur::cell {

using base::Millis;

// Pattern: the log's answers take sixty times as long for some seconds.
TEST_CASE("a slow log gets more time, within a bound") {
  LogTiming timing(Millis{500});
  CHECK(timing.AppendTimeout() == Millis{500});
  timing.AddLatency(Millis{5});
  CHECK(timing.AppendTimeout() == Millis{500});
  timing.AddLatency(Millis{240});
  CHECK(timing.AppendTimeout() == Millis{1440});
  timing.AddLatency(Millis{5000});
  CHECK(timing.AppendTimeout() == Millis{1500});
  timing.AddLatency(Millis{5});
  CHECK(timing.AppendTimeout() == Millis{500});
}

}  // namespace azurespur::cell
