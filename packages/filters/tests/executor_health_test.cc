#include "executor_health.h"

#include <doctest/doctest.h>

namespace azurespur::filters {

namespace {

using base::Millis;
using base::MonoTime;

constexpr size_t kExecutors = 10;
constexpr MonoTime kNow{Millis(1000)};

HealthTable Table() {
  HealthTable table{HealthOptions{}};
  for (size_t i = 0; i < kExecutors; ++i) {
    table.SetPresent(i, true);
  }
  return table;
}

size_t Usable(HealthTable& table, MonoTime now) {
  size_t usable = 0;
  for (size_t i = 0; i < kExecutors; ++i) {
    usable += table.MayUse(i, now) ? 1 : 0;
  }
  return usable;
}

void Fail(HealthTable& table, size_t executor) {
  for (int i = 0; i < HealthOptions{}.failures_to_eject; ++i) {
    table.OnFailed(executor, kNow);
  }
}

}  // namespace

TEST_CASE("a failing executor is ejected and probed after the ejection") {
  HealthTable table = Table();
  Fail(table, 3);
  CHECK_FALSE(table.MayUse(3, kNow));
  const MonoTime later = kNow + Millis(1001);
  REQUIRE(table.MayUse(3, later));
  table.OnAttemptStarted(3);
  CHECK_FALSE(table.MayUse(3, later));  // Only one probe at a time.
  SUBCASE("a successful probe readmits it") {
    table.OnRan(3, 5, later);
    CHECK(table.MayUse(3, later));
    table.OnAttemptStarted(3);
    CHECK(table.MayUse(3, later));
  }
  SUBCASE("a failed probe ejects it for longer") {
    table.OnFailed(3, later);
    CHECK_FALSE(table.MayUse(3, later + Millis(1500)));
    CHECK(table.MayUse(3, later + Millis(2001)));
  }
}

TEST_CASE("an executor that is slower than the others is ejected") {
  HealthTable table = Table();
  for (int run = 0; run < 60; ++run) {
    for (size_t i = 0; i < kExecutors; ++i) {
      table.OnRan(i, i == 7 ? 200 : 20, kNow);
    }
  }
  CHECK_FALSE(table.MayUse(7, kNow));
  CHECK(Usable(table, kNow) == kExecutors - 1);
}

TEST_CASE("occasional slow runs eject no executor") {
  HealthTable table = Table();
  for (int run = 0; run < 3000; ++run) {
    for (size_t i = 0; i < kExecutors; ++i) {
      table.OnRan(i, (run * 7 + static_cast<int>(i)) % 50 == 0 ? 1000 : 20,
                  kNow);
    }
  }
  CHECK(Usable(table, kNow) == kExecutors);
}

TEST_CASE("only a limited share is ejected, even if all fail") {
  HealthTable table = Table();
  for (size_t i = 0; i < kExecutors; ++i) {
    Fail(table, i);
  }
  CHECK(Usable(table, kNow) == 7);
}

}  // namespace azurespur::filters
