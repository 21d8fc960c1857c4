#include "stall_watch.h"

#include <doctest/doctest.h>

#include "link_meter.h"

namespace azurespur::http {

using base::Millis;
using base::MonoTime;

namespace {

constexpr size_t kWorkers = 350;
constexpr size_t kReportBytes = 2400;  // 28 tasks and the headers.
constexpr double kLinkMbps = 10;
constexpr size_t kLinkBytesPerMilli = 1250;
constexpr StallLimits kHold{Millis{350}, /*answer_wait=*/Millis{0},
                            /*max_link_wait=*/Millis{2150}};

}  // namespace

// A response of 1 MB takes 0.8 s at 10 Mbit/s: a limit for the whole transfer
// ended each one before it was complete.
TEST_CASE("a transfer stalls only if nothing arrives for its timeout") {
  const MonoTime start{Millis{1000}};
  StallWatch<int> watch;
  watch.Add(1, {Millis{500}}, start);
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
  watch.Add(1, {Millis{500}}, start);
  watch.Add(2, {Millis{1400}}, start);
  CHECK(watch.NextDeadline() == start + Millis{500});
  watch.OnBytes(1, start + Millis{1000});
  CHECK(watch.NextDeadline() == start + Millis{1400});
  watch.Remove(2);
  CHECK(watch.NextDeadline() == start + Millis{1500});
  watch.Remove(1);
  CHECK(watch.Stalled(start + Millis{9000}).empty());
}

TEST_CASE("the wait of a long poll ends with the first byte") {
  const MonoTime start{Millis{1000}};
  const StallLimits limits{Millis{350}, /*answer_wait=*/Millis{1000}};
  StallWatch<int> watch;
  watch.Add(1, limits, start);
  watch.Add(2, limits, start);
  watch.OnBytes(1, start + Millis{900});
  CHECK(watch.NextDeadline() == start + Millis{1250});
  CHECK(watch.Stalled(start + Millis{1250}) == std::vector<int>{1});
  watch.Remove(1);
  CHECK(watch.Stalled(start + Millis{1349}).empty());
  CHECK(watch.Stalled(start + Millis{1350}) == std::vector<int>{2});
}

// Guards against a new leader with a narrow link that asks all workers at once
// and takes those for silent whose reports stand behind others at its link.
TEST_CASE(
    "a transfer that waits for the link while others fill it is no stall") {
  const MonoTime start{Millis{1000}};
  StallWatch<size_t> watch;
  LinkMeter link(kLinkMbps);
  const size_t silent = kWorkers;
  for (size_t worker = 0; worker <= kWorkers; ++worker) {
    watch.Add(worker, kHold, start);
  }
  std::vector<size_t> stalled;
  MonoTime now = start;
  size_t arrived = 0;
  size_t complete = 0;
  while (complete < kWorkers) {
    now += Millis{1};
    link.OnBytes(kLinkBytesPerMilli, now);
    arrived += kLinkBytesPerMilli;
    watch.OnBytes(complete, now);
    for (; (complete + 1) * kReportBytes <= arrived && complete < kWorkers;
         ++complete) {
      watch.Remove(complete);
    }
    for (size_t worker : watch.Stalled(now, link.IsFull(now))) {
      stalled.push_back(worker);
    }
  }
  CHECK(stalled.empty());
  // Once the link is free, the silent worker is noticed as fast as ever.
  now += kHold.timeout;
  CHECK(watch.Stalled(now, link.IsFull(now)) == std::vector<size_t>{silent});
}

TEST_CASE("a transfer does not wait for a full link for ever") {
  const MonoTime start{Millis{1000}};
  StallWatch<int> watch;
  watch.Add(1, kHold, start);
  MonoTime now = start;
  while (watch.Stalled(now, /*link_full=*/true).empty()) {
    now += Millis{1};
  }
  CHECK(now == start + kHold.timeout + kHold.max_link_wait);
}

TEST_CASE("a transfer that may not wait for the link stalls all the same") {
  const MonoTime start{Millis{1000}};
  StallWatch<int> watch;
  watch.Add(1, {Millis{500}}, start);
  CHECK(watch.Stalled(start + Millis{500}, /*link_full=*/true) ==
        std::vector<int>{1});
}

}  // namespace azurespur::http
