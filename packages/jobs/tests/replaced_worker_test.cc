// Workers whose address answers for another boot. The users saw submissions
// with nothing running for 23 s after a cut behind which the workers' machines
// came back as other workers (review/13).

#include <doctest/doctest.h>

#include <string>

#include "late_call_cell.h"
#include "scheduler_fixture.h"

namespace azurespur::jobs {

using base::Millis;

namespace {

constexpr Millis kLongWork{30000};
constexpr Millis kUptime{100000};
// A start without answer may arrive this much later, and the address is asked
// again after that.
constexpr Millis kOpenFor{12500};
constexpr Millis kSlack{1500};

struct ReplacedCell : LateCallCell {
  ReplacedCell() {
    AddWorker("w0", kUptime);
    AddWorker("w1", kUptime);
    Run(Millis{1000});
  }
};

struct AddressFixture : SchedulerFixture {
  explicit AddressFixture(int workers) {
    AddQueue("batch", 1);
    AddWorkers(workers, 10);
    Run(Millis{200});
  }

  // The worker is gone, and its machine answers as another one.
  void Replace(const std::string& id) {
    other_boots.insert("addr-" + id);
    running[id].clear();
    ends[id].clear();
  }
};

}  // namespace

// Guards against review/13, LOST: runs wait for the lease of a boot whose
// address says that it is gone.
TEST_CASE("a run is over once another boot answers at its worker's address") {
  ReplacedCell f;
  f.Submit(1, kLongWork);
  f.Run(Millis{500});
  REQUIRE(f.RowsOf(1).size() == 1);
  const std::string first = f.RowsOf(1).at(0).worker;
  f.cut.insert(first);
  SUBCASE("under the same leader") {}
  SUBCASE("under a new leader") {
    f.ReplaceLeader();
  }
  SUBCASE("under a new leader that finds no entry") {
    f.unlisted.insert(first);
    f.ReplaceLeader();
  }
  f.Replace(first);
  f.Run(Millis{2000});
  REQUIRE(f.RowsOf(1).size() == 1);
  f.cut.clear();
  f.Run(kSlack);
  CHECK(f.RowsOf(1).size() == 2);
  CHECK(f.CountAll() == 0);
}

// Guards against review/13, LOST: a start without answer waits for 23 s, the
// longest lease of a boot that nobody has reached, though its address answers.
TEST_CASE("a start without answer waits until it can't arrive at a new boot") {
  ReplacedCell f;
  const std::string first = f.SubmitWithLateStart(1, kLongWork, Millis{9000});
  f.cut.insert(first);
  f.Replace(first);
  SUBCASE("under the same leader") {
    f.Run(Millis{3000});
  }
  SUBCASE("under a new leader") {
    f.ReplaceLeader();
    f.Run(Millis{3000});
  }
  SUBCASE("under a new leader that finds no entry") {
    f.unlisted.insert(first);
    f.ReplaceLeader();
    f.Run(Millis{3000});
  }
  f.cut.clear();
  f.Run(kOpenFor - Millis{3000} + kSlack);
  REQUIRE(f.RowsOf(1).size() == 1);
  CHECK(f.RowsOf(1).at(0).worker != first);
  f.Run(Millis{20000});
  CHECK(f.CountAll() == 0);
}

// Guards against two runs of a task: the worker is back under its id before the
// start arrives, so the other boot's answer proves nothing of that.
TEST_CASE("a start without answer arrives at a worker that has come back") {
  ReplacedCell f;
  const std::string first = f.SubmitWithLateStart(1, kLongWork, Millis{9000});
  f.Replace(first);
  f.Run(Millis{3000});
  CHECK(f.scheduler->fleet().replaced_boots() == 1);
  REQUIRE(f.RowsOf(1).empty());
  f.cut.insert(first);
  f.Restart(first);
  SUBCASE("under the same leader") {}
  SUBCASE("under a new leader") {
    f.ReplaceLeader();
  }
  f.Run(Millis{7000});
  REQUIRE(f.RowsOf(1).size() == 1);
  CHECK(f.RowsOf(1).at(0).started_late);
  f.Run(Millis{40000});
  CHECK(f.CountAll() == 0);
}

// Guards against a gang that waits for 23 s for a start of one member.
TEST_CASE("a gang waits for a start without answer no longer than a task") {
  AddressFixture f(4);
  f.unanswered_starts = 1;
  f.Submit(1, "batch", 2, 10, /*gang=*/true);
  f.Run(Millis{300});
  REQUIRE(f.CountRunning(1) == 2);
  const std::string first = f.WorkerOf({1, 0, 0});
  f.Replace(first);
  f.Run(Millis{5000});
  CHECK(f.CountRunning(1) == 0);
  f.Run(kOpenFor - Millis{5000} + kSlack);
  CHECK(f.CountRunning(1) == 2);
  CHECK(f.WorkerOf({1, 0, 0}) != first);
}

// Guards against room under a cap, or attempts, that a boot which is gone uses.
TEST_CASE("a run at a boot that is gone counts for no cap and no attempt") {
  AddressFixture f(2);
  f.policy.queues["batch"].max_attempts = 1;
  f.AddAccount("small", 1, 10);
  f.account = "small";
  f.Submit(1, "batch", 1, 10);
  f.Run(Millis{200});
  REQUIRE(f.CountRunning(1) == 1);
  f.Replace(f.WorkerOf({1, 0, 0}));
  f.Run(Millis{1500});
  CHECK(f.CountRunning(1) == 1);
  CHECK(f.table.StateOf(1) == JobState::kRunning);
}

// Guards against ends that are held for ever, and a table that grows: the end
// of a task whose start is open can't be acknowledged to a boot that is gone.
TEST_CASE("a held end of a boot that is gone is dropped with its open start") {
  AddressFixture f(2);
  f.unanswered_starts = 1;
  f.Submit(1, "batch", 1, 10);
  f.Run(Millis{1000});
  REQUIRE(f.CountRunning(1) == 1);
  const std::string first = f.WorkerOf({1, 0, 0});
  f.unanswered_starts = 0;
  f.End({1, 0, 0}, EndCause::kDone);
  f.Run(Millis{500});
  REQUIRE(f.table.StateOf(1) == JobState::kCompleted);
  f.Replace(first);
  f.Run(kOpenFor + kSlack);
  CHECK(f.scheduler.fleet().CountOpenStarts() == 0);
  CHECK(f.scheduler.fleet().CountWorkersWithHeldEnds() == 0);
}

// Guards against a task that runs twice: another writer's entry names another
// worker's address for a worker that goes on running there.
TEST_CASE("an address where the worker never answered says nothing of it") {
  AddressFixture f(2);
  f.Submit(1, "batch", 1, 10);
  f.Run(Millis{500});
  const std::string first = f.WorkerOf({1, 0, 0});
  for (WorkerEntry& entry : f.entries) {
    if (entry.boot.id == first) {
      entry.address = "addr-of-another";
    }
  }
  f.other_boots.insert("addr-of-another");
  f.Run(Millis{1500});
  for (WorkerEntry& entry : f.entries) {
    entry.address = "addr-" + entry.boot.id;
  }
  f.Run(Millis{1000});
  CHECK(f.started.size() == 1);
  CHECK(f.scheduler.fleet().replaced_boots() == 0);
}

// Guards against a table that keeps every worker there ever was, and against a
// successor that doesn't know where its long runs are.
TEST_CASE("the table keeps the addresses of workers that have tasks") {
  JobTable table;
  JobSpec spec;
  spec.id = 1;
  spec.steps.resize(1);
  spec.steps[0].count = 2;
  const base::MonoTime begin{Millis{1000}};
  table.Submit(spec, begin);
  const WorkerBoot busy{"w0", 7};
  const WorkerBoot idle{"w1", 7};
  table.Apply(WorkRecord(BindRecord{{1, 0, 0}, 1, busy, "a"}), begin);
  table.Apply(WorkRecord(BindRecord{{1, 0, 1}, 1, idle, "b"}), begin);
  table.Apply(WorkRecord(EndRecord{{1, 0, 1}, 1, EndKind::kReleased, ""}),
              begin);
  CHECK(table.AddressOf(idle) == "b");
  CHECK(table.AddressOf({"w0", 8}).empty());
  table.RemoveExpired(begin + Millis{90000}, Millis{180000});
  CHECK(table.AddressOf(busy) == "a");
  CHECK(table.AddressOf(idle).empty());
}

}  // namespace azurespur::jobs
