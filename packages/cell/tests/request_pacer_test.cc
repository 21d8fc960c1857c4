#include "request_pacer.h"

#include <doctest/doctest.h>

namespace azurespur::cell {

namespace {

using base::Millis;
using base::MonoTime;

// Number of requests while `next` grows by `step` every millisecond.
int CountRequests(int64_t step) {
  RequestPacer pacer;
  int requests = 0;
  for (int ms = 0; ms < 10000; ++ms) {
    const MonoTime now{Millis{100000 + ms}};
    requests += pacer.ShouldRequest(ms * step, now) ? 1 : 0;
  }
  return requests;
}

}  // namespace

// A VM that was further behind than the leader keeps records asked for the same
// ones 29 times a second, and the leader logged each request.
TEST_CASE("requests for the same records become rare") {
  CHECK(CountRequests(0) <= 14);
}

TEST_CASE("requests that make progress are sent every 30 ms") {
  CHECK(CountRequests(1) >= 330);
}

}  // namespace azurespur::cell
