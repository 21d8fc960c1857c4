// Scheduling with workers that fail tasks, stall or do not answer.

#include <doctest/doctest.h>

#include "scheduler_fixture.h"

namespace azurespur::jobs {

using base::Millis;

// A worker that fails every task at once always has the most free capacity. It
// must cause only few failures and not use up the two attempts of any job.
TEST_CASE("a worker that fails every task exhausts no job's attempts") {
  SchedulerFixture f;
  f.AddQueue("urgent", 0).max_attempts = 2;
  f.AddWorkers(4, 100);
  int failed_starts = 0;
  for (JobId job = 1; job <= 200; ++job) {
    f.Submit(job, "urgent", 1, 10);
    f.Step();
    const auto runs = f.running["w0"];
    for (const auto& [task, run] : runs) {
      f.End(task, EndCause::kFailed);
      ++failed_starts;
    }
    for (JobId old = 1; old + 20 < job; ++old) {
      f.End({old, 0, 0}, EndCause::kDone);
    }
  }
  f.Run(Millis{500});
  CHECK(failed_starts <= 5);
  for (JobId job = 1; job <= 200; ++job) {
    CHECK(f.table.StateOf(job) != JobState::kFailed);
  }
}

TEST_CASE("a worker that has recovered from failures gets tasks again") {
  SchedulerFixture f;
  f.AddQueue("batch", 1).max_attempts = 9;
  f.AddWorkers(1, 10);
  f.Submit(1, "batch", 1, 10);
  for (int i = 0; i < 2; ++i) {
    f.Run(Millis{400});
    f.End({1, 0, 0}, EndCause::kFailed);
  }
  f.Submit(2, "batch", 2, 5);
  f.Run(Millis{3500});
  CHECK(f.CountRunning(1) + f.CountRunning(2) == 1);
  f.End({1, 0, 0}, EndCause::kDone);
  f.End({2, 0, 0}, EndCause::kDone);
  f.Run(Millis{400});
  CHECK(f.CountRunning(1) + f.CountRunning(2) >= 1);
}

TEST_CASE("a run without progress is stopped and starts elsewhere") {
  SchedulerFixture f;
  f.AddQueue("batch", 1);
  f.AddWorkers(2, 10);
  f.stalled["w0"] = true;
  f.Submit(1, "batch", 1, 10);
  f.Run(Millis{4000});
  REQUIRE(f.started.size() >= 2);
  CHECK(f.started[0].worker.id != f.started[1].worker.id);
  CHECK(f.stopped.front().run == 1);
}

// Guards against gangs that are stopped, and begin anew, because their members
// run on workers of different speed: a member that has done its work waits for
// the others and makes no progress.
TEST_CASE("a member of a gang that waits for a slower one is not stopped") {
  SchedulerFixture f;
  f.AddQueue("gangs", 1);
  f.AddWorkers(2, 10);
  f.Submit(1, "gangs", 2, 10, /*gang=*/true);
  f.Run(Millis{200});
  REQUIRE(f.CountRunning(1) == 2);
  f.stalled["w0"] = true;
  for (auto& [task, run] : f.running["w0"]) {
    run.percent = 100;
  }
  f.Run(Millis{6000});
  CHECK(f.stopped.empty());
  CHECK(f.CountRunning(1) == 2);
  f.stalled["w1"] = true;
  f.Run(Millis{4000});
  CHECK_FALSE(f.stopped.empty());
}

// Guards against sound workers that get no tasks for a while: the members of a
// gang end together, but their workers report it one after the other.
TEST_CASE("the end of a gang's slowest member is no stall of the others") {
  SchedulerFixture f;
  f.AddQueue("gangs", 1);
  f.AddWorkers(2, 10);
  f.Submit(1, "gangs", 2, 10, /*gang=*/true);
  f.Run(Millis{200});
  REQUIRE(f.CountRunning(1) == 2);
  f.stalled["w0"] = true;
  for (auto& [task, run] : f.running["w0"]) {
    run.percent = 100;
  }
  const TaskRef waiting = f.running["w0"].begin()->first;
  const TaskRef slowest = f.running["w1"].begin()->first;
  f.Run(Millis{6000});
  REQUIRE(f.stopped.empty());
  f.End(slowest, EndCause::kDone);
  f.Run(Millis{300});
  CHECK(f.stopped.empty());
  CHECK(AcceptsTasks(f.scheduler.fleet().workers().at("w0"), f.now));
  f.End(waiting, EndCause::kDone);
  f.Run(Millis{300});
  CHECK(f.stopped.empty());
  CHECK(f.table.StateOf(1) == JobState::kCompleted);
}

TEST_CASE("tasks of an unreachable worker restart elsewhere after its lease") {
  SchedulerFixture f;
  f.AddQueue("batch", 1);
  f.AddWorkers(2, 10);
  f.Submit(1, "batch", 1, 10);
  // A call of a former leader may have granted the longest lease until this
  // one's first contact.
  f.Run(Millis{2000});
  const std::string first = f.WorkerOf({1, 0, 0});
  REQUIRE_FALSE(first.empty());
  f.silent[first] = true;
  f.Run(f.options.lease - Millis{100});
  CHECK(f.started.size() == 1);
  f.Run(Millis{800});
  REQUIRE(f.started.size() == 2);
  CHECK(f.started[1].worker.id != first);
  CHECK(f.started[1].run == 2);
}

// Guards against two runs of a task: until the first contact, a call of a
// former leader may have granted the longest lease.
TEST_CASE("tasks restart elsewhere after the longest lease in a new term") {
  SchedulerFixture f;
  f.AddQueue("batch", 1);
  f.AddWorkers(2, 10);
  f.Submit(1, "batch", 1, 10);
  f.Run(Millis{100});
  const std::string first = f.WorkerOf({1, 0, 0});
  REQUIRE_FALSE(first.empty());
  f.silent[first] = true;
  f.Run(f.options.max_lease);
  CHECK(f.started.size() == 1);
  f.Run(Millis{800});
  CHECK(f.started.size() == 2);
}

// A partition of 6.5 s, shorter than the lease, makes a failure domain with a
// third of the workers unreachable while gangs run there.
TEST_CASE("runs survive a network partition that is shorter than the lease") {
  SchedulerFixture f;
  f.AddQueue("gangs", 1);
  f.AddWorkers(3, 10);
  f.Submit(1, "gangs", 3, 10, /*gang=*/true, /*estimate_ms=*/20000);
  f.Run(Millis{200});
  REQUIRE(f.CountRunning(1) == 3);
  f.silent["w2"] = true;
  f.Run(Millis{6500});
  f.silent["w2"] = false;
  f.Run(Millis{500});
  CHECK(f.stopped.empty());
  CHECK(f.started.size() == 3);
  CHECK(f.CountRunning(1) == 3);
}

// Guards against a new run elsewhere while unanswered starts may take effect.
TEST_CASE("a start without an answer is sent again to the same worker") {
  SchedulerFixture f;
  f.AddQueue("gangs", 1);
  f.AddWorkers(2, 10);
  f.unanswered_starts = 2;
  f.Submit(1, "gangs", 2, 10, /*gang=*/true);
  f.Run(Millis{400});
  CHECK(f.CountRunning(1) == 2);
  CHECK(f.stopped.empty());
  CHECK(f.started.size() == 4);
  for (const StartOrder& order : f.started) {
    CHECK(order.run == 1);
  }
}

// The answer to a start is lost, and the short task is done before the start is
// sent again.
TEST_CASE("a repeated start that arrives after the end causes no second run") {
  SchedulerFixture f;
  f.AddQueue("urgent", 0);
  f.AddWorkers(2, 10);
  f.unanswered_starts = 1;
  f.run_unanswered = true;
  f.Submit(1, "urgent", 1, 10);
  f.Run(Millis{1500});
  CHECK(f.table.StateOf(1) == JobState::kCompleted);
  for (const StartOrder& order : f.started) {
    CHECK(order.run == 1);
  }
}

TEST_CASE("a start that is never answered is stopped before another run") {
  SchedulerFixture f;
  f.AddQueue("batch", 1);
  f.AddWorkers(2, 10);
  const auto sends = static_cast<size_t>(f.options.max_start_sends);
  f.unanswered_starts = f.options.max_start_sends;
  f.Submit(1, "batch", 1, 10);
  f.Run(Millis{1000});
  REQUIRE_FALSE(f.stopped.empty());
  CHECK(f.stopped.front().run == 1);
  CHECK(f.started.size() == sends);
  // None of the sends can arrive any more.
  f.Run(Millis{14000});
  REQUIRE(f.started.size() == sends + 1);
  CHECK(f.started[sends - 1].run == 1);
  CHECK(f.started[sends - 1].worker == f.started[0].worker);
  CHECK(f.started[sends].run == 2);
}

TEST_CASE(
    "a task that a worker refuses for lack of capacity starts elsewhere") {
  SchedulerFixture f;
  f.AddQueue("batch", 1);
  f.AddWorkers(2, 10);
  f.start_outcomes["w0"] = OrderOutcome::kNoRoom;
  f.Submit(1, "batch", 1, 10);
  f.Run(Millis{400});
  CHECK(f.WorkerOf({1, 0, 0}) == "w1");
}

TEST_CASE("tasks of a restarted worker are started again") {
  SchedulerFixture f;
  f.AddQueue("batch", 1);
  f.AddWorkers(1, 10);
  f.Submit(1, "batch", 1, 10);
  f.Run(Millis{100});
  REQUIRE(f.IsRunning({1, 0, 0}));
  f.running["w0"].clear();
  f.boots["w0"] = 2;
  f.entries[0].boot.boot_unix_ms = 2;
  f.Run(Millis{400});
  REQUIRE(f.started.size() == 2);
  CHECK(f.started[1].worker.boot_unix_ms == 2);
  CHECK(f.IsRunning({1, 0, 0}));
}

TEST_CASE("a cancelled job's runs are stopped") {
  SchedulerFixture f;
  f.AddQueue("batch", 1);
  f.AddWorkers(1, 10);
  f.Submit(1, "batch", 2, 5);
  f.Run(Millis{100});
  REQUIRE(f.CountRunning(1) == 2);
  f.table.Cancel(1, 0, f.now);
  f.Run(Millis{600});
  CHECK(f.CountRunning(1) == 0);
  CHECK(f.stopped.size() == 2);
}

// Changing workers leave single orders unanswered while short tasks end on all
// workers. Each lost hold order delays the reports of all ends on its worker.
TEST_CASE("hold waits are short while several workers miss orders") {
  SchedulerFixture f;
  f.AddQueue("urgent", 0);
  f.AddWorkers(4, 10);
  f.Submit(1, "urgent", 4, 10);
  f.Run(Millis{200});
  REQUIRE(f.CountRunning(1) == 4);
  const auto longest_wait = [&f](Millis time) {
    f.sent_holds.clear();
    f.Run(time);
    Millis longest{0};
    for (const HoldOrder& hold : f.sent_holds) {
      longest = std::max(longest, hold.wait);
    }
    return longest;
  };
  CHECK(longest_wait(Millis{200}) == f.options.busy_hold_wait);
  const auto miss_one = [&f](const std::string& worker) {
    f.silent[worker] = true;
    f.Run(Millis{40});
    f.silent[worker] = false;
    f.Run(Millis{40});
  };
  miss_one("w0");
  CHECK(longest_wait(Millis{200}) == f.options.busy_hold_wait);
  miss_one("w1");
  CHECK(longest_wait(Millis{200}) == f.options.degraded_hold_wait);
  f.Run(Millis{3500});
  CHECK(longest_wait(Millis{200}) == f.options.busy_hold_wait);
}

// A leader that is too slow to process answers in time sees them as missing.
// Shorter hold waits would then add to its load.
TEST_CASE("hold waits stay long if there are many workers") {
  SchedulerFixture f;
  f.AddQueue("urgent", 0);
  f.AddWorkers(300, 10);
  f.Submit(1, "urgent", 300, 10);
  f.Run(Millis{200});
  for (const char* worker : {"w0", "w1", "w2"}) {
    f.silent[worker] = true;
  }
  f.Run(Millis{40});
  f.silent.clear();
  f.Run(Millis{40});
  f.sent_holds.clear();
  f.Run(Millis{100});
  Millis shortest = f.options.busy_hold_wait;
  for (const HoldOrder& hold : f.sent_holds) {
    shortest = std::min(shortest, hold.wait);
  }
  CHECK(shortest == f.options.busy_hold_wait);
}

TEST_CASE("a worker that missed one hold order is polled again at once") {
  SchedulerFixture f;
  f.AddQueue("urgent", 0);
  f.AddWorkers(1, 10);
  f.Submit(1, "urgent", 1, 5);
  f.Run(Millis{200});
  f.silent["w0"] = true;
  f.Step();
  f.silent["w0"] = false;
  f.Step();
  f.Submit(2, "urgent", 1, 5);
  f.Step();
  f.Step();
  CHECK(f.CountRunning(2) == 1);
}

// A worker accepts no new connections, so that it answers hold orders on an
// existing one, but no starts and stops. A start may take effect 12 s late, so
// no other run may be started before that.
TEST_CASE("an expired unanswered start is released without a stop") {
  SchedulerFixture f;
  f.AddQueue("gangs", 1);
  f.AddWorkers(2, 10);
  f.only_holds["w0"] = true;
  f.Submit(1, "gangs", 2, 10, /*gang=*/true);
  f.Run(Millis{12000});
  CHECK(f.started.back().run == 1);
  f.Run(Millis{1500});
  CHECK(f.started.back().run == 2);
  f.only_holds["w0"] = false;
  f.Run(Millis{13500});
  CHECK(f.CountRunning(1) == 2);
  CHECK(f.started.back().run == 3);
}

}  // namespace azurespur::jobs
