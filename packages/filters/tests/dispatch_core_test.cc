#include "dispatch_core.h"

#include <doctest/doctest.h>

#include "rate_limits.h"

namespace azurespur::filters {

namespace {

using base::Millis;
using base::MonoTime;
using control::RequestClass;

control::SlotShareOptions ShareOptions() {
  control::SlotShareOptions options;
  options.quiet = Millis(1);
  return options;
}

// A single entry VM that owns all slots of two executors.
struct Fixture {
  Fixture()
      : share(ShareOptions(), "e1", 1, MonoTime(Millis(1))),
        core(DispatchOptions{}, share) {
    const std::vector<ExecutorInfo> executors = {{"x1", "a1", 8, false},
                                                 {"x2", "a2", 8, false}};
    core.SetExecutors(executors);
    const std::vector<std::string> members = {"e1"};
    share.SetMembers(1, members, now);
  }

  std::optional<Refusal> Admit(uint64_t handle,
                               RequestClass request_class,
                               bool idempotent = true,
                               const std::string& plan = "p") {
    WorkItem item;
    item.handle = handle;
    item.plan = plan;
    item.allowance = "standard";
    item.request_class = request_class;
    item.idempotent = idempotent;
    item.arrived = now;
    item.deadline = now + Millis(1000);
    return core.Admit(std::move(item), 100, now);
  }

  std::vector<Attempt> SendAll() {
    std::vector<Attempt> sent;
    while (auto attempt = core.Next(now)) {
      sent.push_back(*attempt);
    }
    return sent;
  }

  MonoTime now{Millis(1000)};
  control::SlotShare share;
  DispatchCore core;
};

}  // namespace

TEST_CASE_FIXTURE(Fixture,
                  "slots are reserved for previews and bulk is limited") {
  for (uint64_t i = 0; i < 40; ++i) {
    CHECK_FALSE(Admit(i, RequestClass::kBulk).has_value());
  }
  CHECK(SendAll().size() == 12);  // 75% of 16.
  for (uint64_t i = 40; i < 60; ++i) {
    CHECK_FALSE(Admit(i, RequestClass::kInteractive).has_value());
  }
  CHECK(SendAll().size() == 2);
  for (uint64_t i = 60; i < 70; ++i) {
    CHECK_FALSE(Admit(i, RequestClass::kPreview).has_value());
  }
  const auto previews = SendAll();
  CHECK(previews.size() == 2);
  // A freed slot goes to a preview, although other requests are older.
  core.OnAttemptEnded(previews[0].id, AttemptOutcome::kRan, now);
  const auto next = SendAll();
  REQUIRE(next.size() == 1);
  CHECK(next[0].request_class == RequestClass::kPreview);
}

TEST_CASE_FIXTURE(Fixture, "a plan with long measured runs counts as bulk") {
  for (uint64_t i = 0; i < 10; ++i) {
    CHECK_FALSE(Admit(i, RequestClass::kPreview, true, "slow").has_value());
    const auto sent = SendAll();
    now += Millis(1500);
    core.OnAttemptEnded(sent[0].id, AttemptOutcome::kRan, now);
  }
  WorkItem item;
  item.plan = "slow";
  item.request_class = RequestClass::kPreview;
  CHECK(core.EffectiveClass(item) == RequestClass::kBulk);
  item.plan = "fast";
  CHECK(core.EffectiveClass(item) == RequestClass::kPreview);
}

TEST_CASE_FIXTURE(Fixture, "retries depend on the fate and the retry budget") {
  CHECK_FALSE(Admit(1, RequestClass::kInteractive, false).has_value());
  auto sent = SendAll();
  SUBCASE("not run: retried on another executor") {
    CHECK(core.OnAttemptEnded(sent[0].id, AttemptOutcome::kNotRun, now) ==
          RequestAction::kWait);
    const auto again = SendAll();
    REQUIRE(again.size() == 1);
    CHECK(again[0].slot.executor != sent[0].slot.executor);
  }
  SUBCASE("may have run: not retried") {
    CHECK(core.OnAttemptEnded(sent[0].id, AttemptOutcome::kLost, now) ==
          RequestAction::kRefuse);
    CHECK(core.refusal_fate() == Fate::kMayHaveRun);
    CHECK(SendAll().empty());
  }
  SUBCASE("the budget limits retries when all attempts fail") {
    int again = 0;
    core.OnAttemptEnded(sent[0].id, AttemptOutcome::kRan, now);
    for (uint64_t i = 10; i < 110; ++i) {
      (void)Admit(i, RequestClass::kInteractive);
      for (sent = SendAll(); !sent.empty(); sent = SendAll()) {
        now += Millis(1);
        again += core.OnAttemptEnded(sent[0].id, AttemptOutcome::kNotRun,
                                     now) == RequestAction::kWait
                     ? 1
                     : 0;
      }
      now += Millis(500);
    }
    CHECK(again >= 20);
    CHECK(again <= 31);  // The initial budget of 20, plus 10% of the requests.
  }
}

TEST_CASE_FIXTURE(
    Fixture,
    "an unanswered attempt keeps its slot for the maximum run time") {
  CHECK_FALSE(Admit(1, RequestClass::kInteractive, false).has_value());
  const auto sent = SendAll();
  now += Millis(1000);
  const auto closed = core.TakeExpired(now);
  REQUIRE(closed.size() == 1);
  CHECK(closed[0].refusal.fate == Fate::kMayHaveRun);
  CHECK(share.InUse(sent[0].slot.executor) == 1);
  CHECK(core.OnAttemptEnded(sent[0].id, AttemptOutcome::kLost, now) ==
        RequestAction::kNone);
  share.Tick(now + Millis(9000));
  CHECK(share.InUse(sent[0].slot.executor) == 1);
  share.Tick(now + Millis(9060));
  CHECK(share.InUse(sent[0].slot.executor) == 0);
}

TEST_CASE_FIXTURE(Fixture, "only idempotent requests are hedged") {
  for (uint64_t i = 0; i < 20; ++i) {
    CHECK_FALSE(Admit(i, RequestClass::kInteractive).has_value());
    const auto sent = SendAll();
    now += Millis(10);
    core.OnAttemptEnded(sent[0].id, AttemptOutcome::kRan, now);
  }
  bool idempotent = true;
  SUBCASE("idempotent") {}
  SUBCASE("non-idempotent") {
    idempotent = false;
  }
  CHECK_FALSE(Admit(50, RequestClass::kInteractive, idempotent).has_value());
  const auto sent = SendAll();
  now += Millis(100);
  const auto hedge = core.NextHedge(now);
  CHECK(hedge.has_value() == idempotent);
  if (hedge) {
    CHECK(hedge->slot.executor != sent[0].slot.executor);
    CHECK(core.OnAttemptEnded(hedge->id, AttemptOutcome::kRan, now) ==
          RequestAction::kAnswer);
    CHECK(core.OnAttemptEnded(sent[0].id, AttemptOutcome::kRan, now) ==
          RequestAction::kNone);
  }
}

TEST_CASE_FIXTURE(Fixture,
                  "a request that would miss its deadline is refused at once") {
  uint64_t handle = 0;
  for (; handle < 16; ++handle) {
    CHECK_FALSE(Admit(handle, RequestClass::kInteractive).has_value());
  }
  auto sent = SendAll();
  now += Millis(400);
  for (const Attempt& attempt : sent) {
    core.OnAttemptEnded(attempt.id, AttemptOutcome::kRan, now);
  }
  // With 16 slots and runs of 400 ms, about 20 requests can start within the
  // 600 ms that remain after the time reserved for the run.
  int refused = 0;
  for (; handle < 100; ++handle) {
    const auto refusal = Admit(handle, RequestClass::kInteractive);
    SendAll();
    if (refusal) {
      ++refused;
      CHECK(refusal->fate == Fate::kNotRun);
      CHECK(refusal->retry_after.count() > 0);
    }
  }
  CHECK(refused > 30);
  CHECK(core.queue().size() > 5);
}

TEST_CASE("the rate of an allowance is split among the VMs of the domain") {
  control::Allowance allowance;
  allowance.id = "a";
  allowance.requests_per_s = 100;
  allowance.burst = 20;
  RateLimits limits;
  MonoTime now{Millis(1000)};
  int taken = 0;
  for (int ms = 0; ms < 10000; ++ms) {
    taken += limits.Take(allowance, 2, now) ? 0 : 1;
    now += Millis(1);
  }
  CHECK(taken >= 509);
  CHECK(taken <= 511);
}

}  // namespace azurespur::filters
