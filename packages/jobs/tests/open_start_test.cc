// Starts without an answer that a later boot of their worker carries out. The
// users saw tasks that ran twice (review/7): the leader concluded and
// acknowledged what such a start undid.

#include <doctest/doctest.h>

#include <string>
#include <utility>

#include "late_call_cell.h"
#include "scheduler_fixture.h"

namespace azurespur::jobs {

using base::Millis;

namespace {

constexpr Millis kShortWork{200};
constexpr Millis kLongWork{30000};
constexpr Millis kUptime{100000};

struct OpenStartCell : LateCallCell {
  explicit OpenStartCell(int worker_count = 2) {
    for (int i = 0; i < worker_count; ++i) {
      AddWorker("w" + std::to_string(i), kUptime);
    }
    Run(Millis{1000});
  }

  // The worker that has the job's first run.
  std::string WorkerOfFirst(JobId id) const { return RowsOf(id).at(0).worker; }

  // It starts again behind a cut: late calls reach it, no others do.
  void RestartBehindCut(const std::string& id) {
    cut.insert(id);
    Restart(id);
  }
};

}  // namespace

// Guards against review/7, TWICE: a run whose first send got no answer ended as
// done, its end was acknowledged, and the next boot carried out that send.
TEST_CASE("an end is kept until no send of its task can arrive") {
  OpenStartCell f;
  f.SubmitWithLateStart(1, kShortWork, Millis{6000});
  SUBCASE("where a new leader sent it again") {
    f.ReplaceLeader();
  }
  f.Run(Millis{2500});
  REQUIRE(f.table.StateOf(1) == JobState::kCompleted);
  SUBCASE("under the same leader") {}
  SUBCASE("under a new leader") {
    f.ReplaceLeader();
    f.Run(Millis{1000});
  }
  SUBCASE("under the leader after the next one") {
    f.ReplaceLeader();
    f.ReplaceLeader();
    f.Run(Millis{1000});
  }
  f.RestartBehindCut(f.WorkerOfFirst(1));
  f.Run(Millis{8000});
  CHECK(f.RowsOf(1).size() == 2);  // The late one.
  CHECK(f.CountAll() == 0);
}

// Guards against a worker whose list of ends grows for ever.
TEST_CASE("an end is acknowledged once no send of its task can arrive") {
  OpenStartCell f;
  f.SubmitWithLateStart(1, kShortWork, Millis{6000});
  f.Run(Millis{2500});
  REQUIRE(f.table.StateOf(1) == JobState::kCompleted);
  CHECK_FALSE(f.RowsOf(1).at(0).noted);
  f.Run(Millis{14000});
  CHECK(f.RowsOf(1).at(0).noted);
  CHECK(f.scheduler->fleet().CountOpenStarts() == 0);
  CHECK(f.scheduler->fleet().CountWorkersWithHeldEnds() == 0);
}

// Guards against review/7, TWICE: the leader gave up on a start without answer,
// ran the task elsewhere, and the next boot carried the start out as well.
TEST_CASE("a task runs nowhere else while a send of its start can arrive") {
  OpenStartCell f;
  const std::string first = f.SubmitWithLateStart(1, kLongWork, Millis{9000});
  f.cut.insert(first);
  f.Run(Millis{2500});  // The repeats fail.
  f.cut.clear();
  SUBCASE("under the same leader") {}
  SUBCASE("under a new leader") {
    f.ReplaceLeader();
  }
  f.Run(Millis{1500});
  REQUIRE(f.RowsOf(1).size() == 1);
  CHECK(f.WorkerOfFirst(1) == first);  // Sent again to the same worker.
  f.RestartBehindCut(first);
  f.Run(Millis{30000});
  CHECK(f.CountAll() == 0);
}

// Guards against a run that ended on a former boot, unheard, and begins there
// anew under its number: one end of the two is taken note of.
TEST_CASE("a run that has run on a former boot begins on no other") {
  OpenStartCell f;
  f.SubmitWithLateStart(1, kLongWork, Millis{9000});
  f.Run(Millis{1500});
  REQUIRE(f.RowsOf(1).size() == 1);
  f.Restart(f.WorkerOfFirst(1));
  f.Run(Millis{5000});
  CHECK(f.RowsOf(1).size() == 1);
  f.Run(Millis{12000});
  REQUIRE(f.RowsOf(1).size() == 2);
  CHECK(f.RowsOf(1).at(1).run == 2);
  CHECK(f.CountAll() == 0);
}

// The same where the worker refuses the repeat, so that a stop ends the run.
TEST_CASE("a task whose start is given up waits for its late sends") {
  OpenStartCell f;
  f.options.max_start_sends = 1;
  f.ReplaceLeader();
  f.Run(Millis{1000});
  const std::string first = f.SubmitWithLateStart(1, kLongWork, Millis{9000});
  f.Run(Millis{3000});
  f.RestartBehindCut(first);
  f.Run(Millis{45000});
  CHECK(f.RowsOf(1).size() >= 2);
  CHECK(f.CountAll() == 0);
}

// Guards against the same faults where the leader is replaced before it has
// heard that a send got no answer: nobody has stored that.
TEST_CASE("a successor waits for a start whose outcome nobody has stored") {
  OpenStartCell f;
  const std::string first = f.SubmitWithLateStart(1, kLongWork, Millis{9000});
  f.ReplaceLeader();
  f.Run(Millis{1500});
  f.RestartBehindCut(first);
  f.Run(Millis{45000});
  CHECK(f.RowsOf(1).size() >= 2);
  CHECK(f.CountAll() == 0);
}

// Guards against the leader after the next one that knows nothing of what its
// predecessor's own send left open: the log tells of an older one, soon
// expired.
TEST_CASE("a successor stores that its own send got no answer") {
  OpenStartCell f;
  const std::string first = f.SubmitWithLateStart(1, kLongWork, Millis{9000});
  f.ReplaceLeader();
  const base::MonoTime term_began = f.now;
  f.MakeLate(first, CallKind::kStart, Millis{9000});
  f.Run(Millis{1500});
  REQUIRE(f.table.open_starts().count({1, 0, 0}) == 1);
  CHECK(f.table.open_starts().at({1, 0, 0}).since > term_began);
}

// Guards against waits of 12 s for what every worker has long answered.
TEST_CASE("a successor waits for no start that was answered") {
  OpenStartCell f;
  for (JobId job = 1; job <= 3; ++job) {
    f.Submit(job, kLongWork);
    f.Run(Millis{300});
  }
  f.Run(Millis{1000});
  f.ReplaceLeader();
  CHECK(f.table.open_starts().empty());
  CHECK(f.scheduler->fleet().CountOpenStarts() == 0);
}

// Guards against attempts beyond the limit: a failed run's late send begins a
// run after the last one.
TEST_CASE("a failed end is kept while a send of its task can arrive") {
  SchedulerFixture f;
  f.AddQueue("batch", 1).max_attempts = 1;
  f.AddWorkers(1, 10);
  f.Run(Millis{100});
  f.unanswered_starts = 1;
  f.Submit(1, "batch", 1, 5);
  f.Run(Millis{200});
  REQUIRE(f.CountRunning(1) == 1);
  f.End({1, 0, 0}, EndCause::kFailed);
  f.Run(Millis{500});
  CHECK(f.table.StateOf(1) == JobState::kFailed);
  CHECK(f.ends["w0"].size() == 1);
  f.Run(Millis{14000});
  CHECK(f.ends["w0"].empty());
}

// Guards against a gang that starts anew while a late send may begin one of its
// former members.
TEST_CASE("a gang waits until no send of a member's former start can arrive") {
  SchedulerFixture f;
  f.AddQueue("gangs", 1);
  f.AddWorkers(2, 10);
  f.Run(Millis{100});
  f.unanswered_starts = 1;
  f.Submit(1, "gangs", 2, 5, /*gang=*/true);
  f.Run(Millis{300});
  REQUIRE(f.CountRunning(1) == 2);
  f.End({1, 0, 1}, EndCause::kFailed);
  f.Run(Millis{5000});
  CHECK(f.CountRunning(1) == 0);
  f.Run(Millis{10000});
  CHECK(f.CountRunning(1) == 2);
}

// Guards against a second send, and what follows from it, of a start that the
// worker has carried out.
TEST_CASE("a start that a report lists after its only send is not open") {
  OpenStartCell f;
  bool lost = false;
  f.draw_lost = [&f, &lost] {
    return !f.RowsOf(1).empty() && !std::exchange(lost, true);
  };
  f.Submit(1, kShortWork);
  f.Run(Millis{1500});
  CHECK(lost);
  CHECK(f.table.StateOf(1) == JobState::kCompleted);
  CHECK(f.RowsOf(1).at(0).noted);
}

}  // namespace azurespur::jobs
