#include "log_timing.h"

#include <doctest/doctest.h>

namespace azurespur::cell {

using base::Millis;

// The log's latency is sixty times as high for some seconds.
TEST_CASE("the append timeout grows with the log's latency, within a bound") {
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
