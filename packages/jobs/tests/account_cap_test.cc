// What accounts may have running, without a network.

#include <doctest/doctest.h>

#include "jobs/account_cap.h"
#include "scheduler_fixture.h"

namespace azurespur::jobs {

using base::Millis;

namespace {

// Eight workers of 10; account "small" may use 20, "large" is not limited.
struct CapFixture : SchedulerFixture {
  explicit CapFixture(int64_t cap = 20) {
    AddQueue("q", 1);
    AddAccount("small", 1, cap);
    AddAccount("large", 1);
    AddWorkers(8, 10);
    Run(Millis{200});
    account = "small";
  }

  placement::Resources InUse(const std::string& name) {
    const AccountUsage& usage = scheduler.fleet().usage();
    for (AccountIndex i = 0; i < usage.size(); ++i) {
      if (usage[i].account == name) {
        return usage[i].in_use;
      }
    }
    return {};
  }
};

}  // namespace

TEST_CASE("an account runs no more than its cap while others are unlimited") {
  CapFixture f;
  f.Submit(1, "q", 10, 5);
  f.account = "large";
  f.Submit(2, "q", 10, 5);
  f.Run(Millis{500});
  CHECK(f.CountRunning(1) == 4);
  CHECK(f.CountRunning(2) == 10);
  CHECK(f.InUse("small") == placement::Resources{20, 4, 0});
}

TEST_CASE("an end makes room under the cap, whichever step waits") {
  CapFixture f;
  f.Submit(1, "q", 4, 5);
  f.Run(Millis{200});
  f.Submit(2, "q", 1, 5);
  f.Run(Millis{200});
  REQUIRE(f.CountRunning(2) == 0);
  f.End({1, 0, 0}, EndCause::kDone);
  f.Run(Millis{3000});
  CHECK(f.CountRunning(2) == 1);
}

TEST_CASE("memory and accelerators are capped as well as cores") {
  CapFixture f(0);
  f.policy.accounts["small"].cap.memory_mb = 3;
  f.Submit(1, "q", 10, 1);
  f.Run(Millis{500});
  CHECK(f.CountRunning(1) == 3);
}

// Guards against a gang that starts in part, or that reserves capacity which
// its cap would not let it use.
TEST_CASE("a gang starts only if its cap has room for all of it") {
  CapFixture f;
  f.Submit(1, "q", 1, 5);
  f.Run(Millis{200});
  f.Submit(2, "q", 4, 5, /*gang=*/true);
  f.account = "large";
  f.Submit(3, "q", 14, 5);
  f.Run(Millis{500});
  CHECK(f.CountRunning(2) == 0);
  CHECK(f.CountRunning(3) == 14);
  f.End({1, 0, 0}, EndCause::kDone);
  f.End({3, 0, 0}, EndCause::kDone);
  f.End({3, 0, 1}, EndCause::kDone);
  f.End({3, 0, 2}, EndCause::kDone);
  f.Run(Millis{3000});
  CHECK(f.CountRunning(2) == 4);
}

TEST_CASE("a step that can never fit its cap holds back nothing else") {
  CapFixture f;
  f.Submit(1, "q", 5, 5, /*gang=*/true);
  f.Submit(2, "q", 1, 21);
  f.Submit(3, "q", 2, 5);
  f.Run(Millis{500});
  CHECK(f.CountRunning(1) == 0);
  CHECK(f.CountRunning(2) == 0);
  CHECK(f.CountRunning(3) == 2);
  CHECK(FindStepBeyondCap(*f.table.Find(1), f.policy) == 0);
  CHECK(FindStepBeyondCap(*f.table.Find(2), f.policy) == 0);
  CHECK_FALSE(FindStepBeyondCap(*f.table.Find(3), f.policy));
}

TEST_CASE("a lowered cap stops no run and starts none until usage is below") {
  CapFixture f;
  f.Submit(1, "q", 10, 5);
  f.Run(Millis{500});
  REQUIRE(f.CountRunning(1) == 4);
  f.policy.accounts["small"].cap.cpu_millis = 10;
  f.Run(Millis{500});
  CHECK(f.CountRunning(1) == 4);
  CHECK(f.stopped.empty());
  f.End({1, 0, 0}, EndCause::kDone);
  f.End({1, 0, 1}, EndCause::kDone);
  f.Run(Millis{3000});
  CHECK(f.CountRunning(1) == 2);
  f.policy.accounts["small"].cap.cpu_millis = 30;
  f.Run(Millis{500});
  CHECK(f.CountRunning(1) == 6);
}

TEST_CASE("an account that the policy no longer names has no cap") {
  CapFixture f;
  f.Submit(1, "q", 10, 5);
  f.Run(Millis{500});
  REQUIRE(f.CountRunning(1) == 4);
  f.policy.accounts.erase("small");
  f.Run(Millis{500});
  CHECK(f.CountRunning(1) == 10);
}

// Guards against bindings that count only once their start was sent: a slow log
// would let plan after plan bind up to the cap.
TEST_CASE("bindings that the log has not stored count towards the cap") {
  CapFixture f;
  f.log_down = true;
  f.Submit(1, "q", 10, 5);
  f.Run(Millis{500});
  CHECK(f.unstored.size() == 4);
  CHECK(f.InUse("small").cpu_millis == 20);
  f.log_down = false;
  f.Run(Millis{500});
  CHECK(f.CountRunning(1) == 4);
}

// Guards against starts in place of runs that may still go on.
TEST_CASE("runs on a partitioned worker count until its lease is over") {
  CapFixture f;
  f.Submit(1, "q", 10, 5);
  f.Run(Millis{500});
  for (const WorkerEntry& entry : f.entries) {
    f.silent[entry.boot.id] = !f.running[entry.boot.id].empty();
  }
  f.Run(Millis{5000});
  CHECK(f.CountRunning(1) == 4);
  CHECK(f.InUse("small").cpu_millis == 20);
}

TEST_CASE("a new leader counts the runs of the former one") {
  CapFixture f;
  f.Submit(1, "q", 10, 5);
  f.Run(Millis{500});
  REQUIRE(f.CountRunning(1) == 4);
  Scheduler successor(f.options, f.table);
  successor.SetPolicy(f.policy);
  successor.Adopt(f.now);
  const AccountUsage& usage = successor.fleet().usage();
  REQUIRE(usage.size() == 2);
  CHECK(usage[1].account == "small");
  CHECK(usage[1].in_use == placement::Resources{20, 4, 0});
  CHECK(usage[1].tasks == 4);
}

TEST_CASE("a cell whose policy names no accounts limits nothing") {
  CapFixture f;
  f.policy.accounts.clear();
  f.Submit(1, "q", 10, 5);
  f.Run(Millis{500});
  CHECK(f.CountRunning(1) == 10);
}

// Guards against a restarted worker that carries out a late send of a start
// while the account's usage doesn't show it.
TEST_CASE("an open send counts while a worker's new boot would carry it out") {
  Fleet fleet{SchedulerOptions()};
  SchedulerOutput out;
  base::MonoTime now{Millis{1000000}};
  const TaskRef task{1, 0, 0};
  const AccountIndex account = fleet.IndexOfAccount("small");
  const auto report = [&](int64_t boot, std::vector<EndedTask> ended,
                          std::vector<RunningTask> running = {}) {
    WorkerReport report;
    report.boot_unix_ms = boot;
    report.ended = std::move(ended);
    report.running = std::move(running);
    HoldOrder order;
    order.worker = fleet.workers().at("w").entry.boot;
    order.fence = fleet.workers().at("w").fence;
    order.sent_at = now;
    fleet.OnReport(order, report, now, out);
  };
  WorkerEntry entry;
  entry.boot = {"w", 1};
  entry.address = "addr";
  entry.capacity = {10, 10, 0};
  fleet.SetEntries(std::vector{entry}, now);
  report(1, {});
  Run run;
  run.run = 1;
  run.demand = {5, 1, 0};
  run.account = account;
  fleet.Bind(task, run, "w", now);
  REQUIRE(fleet.BeginStart(task, 1, /*has_ticket=*/false, now) != nullptr);
  StartOrder start;
  start.worker = entry.boot;
  start.task = task;
  start.run = 1;
  fleet.OnStartRepeated(task, now, out);  // One of the two sends stays open.
  fleet.OnStarted(start, {}, now, out);
  EndedTask end;
  end.number = 1;
  end.task = task;
  end.run = 1;
  now += Millis{100};
  report(1, {end});
  CHECK(fleet.usage()[account].tasks == 0);
  now += Millis{100};
  report(2, {});
  CHECK(fleet.usage()[account].tasks == 1);
  CHECK(fleet.usage()[account].in_use == run.demand);
  SUBCASE("until the boot answers under its own fencing token") {
    report(2, {});
    report(2, {});
  }
  SUBCASE("until the run that it began there is over") {
    report(2, {}, {{task, 1, "", 10}});
    CHECK(fleet.usage()[account].tasks == 1);
    report(2, {});
  }
  SUBCASE("until what it may have begun on an unseen boot has lapsed") {
    now += Millis{22000};
    fleet.Tick(now, true, out);
    CHECK(fleet.usage()[account].tasks == 1);
    now += Millis{3000};
    fleet.Tick(now, true, out);
  }
  CHECK(fleet.usage()[account].tasks == 0);
  CHECK(fleet.usage()[account].in_use == placement::Resources{});
}

}  // namespace azurespur::jobs
