// Restarts of workers under their ids, with a directory that lags behind.

#include <doctest/doctest.h>

#include <algorithm>
#include <vector>

#include "scheduler_fixture.h"

namespace azurespur::jobs {

using base::Millis;

namespace {

// One task runs on the only worker.
struct RestartFixture : SchedulerFixture {
  RestartFixture() {
    directory_interval = Millis{240};
    AddQueue("batch", 1);
    AddWorkers(1, 100);
    Run(Millis{200});
    Submit(1, "batch", 1, 10);
    Run(Millis{200});
  }

  // The worker forgets its runs and counts its ends anew.
  void Restart() {
    running["w0"].clear();
    ends["w0"].clear();
    end_numbers["w0"] = 0;
    boots["w0"] = ++newest_boot;
  }

  void UpdateDirectory() { entries[0].boot.boot_unix_ms = boots["w0"]; }

  const TaskRef task{1, 0, 0};
  int64_t newest_boot = 1;
};

// A task is done, and a send of its start that got no answer is still open.
struct OpenSendFixture : SchedulerFixture {
  OpenSendFixture() {
    AddQueue("batch", 1);
    AddWorkers(1, 100);
    Run(Millis{200});
    unanswered_starts = 1;
    Submit(1, "batch", 1, 10);
    Run(Millis{1000});
    REQUIRE(started.size() == 2);
    End(task, EndCause::kDone);
    Run(Millis{400});
    REQUIRE(table.StateOf(1) == JobState::kCompleted);
  }

  // Returns the hold orders to the new boot.
  std::vector<HoldOrder> Restart(int64_t boot) {
    sent_holds.clear();
    stopped.clear();
    boots["w0"] = boot;
    ends["w0"].clear();
    end_numbers["w0"] = 0;
    entries[0].boot.boot_unix_ms = boot;
    Run(Millis{800});
    return sent_holds;
  }

  const TaskRef task{1, 0, 0};
};

// True if a call of the leader that came before all grants carries a higher
// token than `fence`, and all calls after it do.
bool RaisesFenceFirst(const std::vector<HoldOrder>& holds, uint64_t fence) {
  const auto raised = std::find_if(
      holds.begin(), holds.end(),
      [fence](const HoldOrder& hold) { return hold.fence > fence; });
  return raised != holds.end() && !raised->lease_until_ms &&
         raised->acked_end_number == 0 &&
         std::all_of(raised, holds.end(), [fence](const HoldOrder& hold) {
           return hold.fence > fence;
         });
}

}  // namespace

// Guards against a run that is given up, and its task started again, since the
// directory still names the boot before the worker's last restart.
TEST_CASE("a directory that lags behind a restart ends no run") {
  RestartFixture f;
  REQUIRE(f.started.size() == 1);
  f.Restart();
  SUBCASE("by one restart") {
    f.Run(Millis{800});
  }
  SUBCASE("by two restarts") {
    f.Run(Millis{200});
    f.Restart();
    f.Run(Millis{800});
    f.entries[0].boot.boot_unix_ms = 2;
    f.Run(Millis{800});
  }
  f.UpdateDirectory();
  f.Run(Millis{600});
  REQUIRE(f.IsRunning(f.task));
  const size_t starts = f.started.size();
  f.Run(Millis{2000});
  CHECK(f.started.size() == starts);
  CHECK(starts == 2);
}

// Guards against the same with an entry of a boot before the first known one,
// or of another writer: only the worker knows its boot.
TEST_CASE("an entry of a boot that the worker does not confirm ends no run") {
  RestartFixture f;
  REQUIRE(f.started.size() == 1);
  f.entries[0].boot.boot_unix_ms = 77;
  f.Run(Millis{400});
  f.entries[0].boot.boot_unix_ms = 1;
  f.Run(Millis{400});
  CHECK(f.started.size() == 1);
  CHECK(f.IsRunning(f.task));
}

// Guards against a task that waits for its lease though its worker has come
// back without it.
TEST_CASE("a task starts again soon after its worker has restarted") {
  RestartFixture f;
  f.Restart();
  f.UpdateDirectory();
  f.Run(Millis{600});
  CHECK(f.started.size() == 2);
  CHECK(f.IsRunning(f.task));
}

// Guards against a task on a worker without the label that it needs: the
// labels of the worker's former boot say nothing of the new one.
TEST_CASE("a restarted worker gets tasks once the directory describes it") {
  RestartFixture f;
  f.entries[0].labels = {"a"};
  f.Run(Millis{200});
  f.Restart();
  f.Run(Millis{200});
  JobSpec& spec = f.Submit(2, "batch", 1, 10);
  spec.steps[0].required_label = "a";
  f.table = JobTable();
  f.table.Submit(spec, f.now);
  f.Run(Millis{800});
  CHECK_FALSE(f.IsRunning({2, 0, 0}));
  f.UpdateDirectory();
  f.entries[0].labels = {"b"};
  f.Run(Millis{400});
  CHECK_FALSE(f.IsRunning({2, 0, 0}));
  f.entries[0].labels = {"a"};
  f.Run(Millis{400});
  CHECK(f.IsRunning({2, 0, 0}));
}

// Guards against a task that is done and runs again: an unanswered send of its
// start arrives late, at a boot that doesn't know the run.
TEST_CASE("a send without answer is fenced on each new boot of its worker") {
  OpenSendFixture f;
  uint64_t fence = f.started.back().fence;
  for (int64_t boot : {2, 3, 4}) {
    const std::vector<HoldOrder> holds = f.Restart(boot);
    REQUIRE_FALSE(holds.empty());
    CHECK(RaisesFenceFirst(holds, fence));
    CHECK(holds.back().worker.boot_unix_ms == boot);
    CHECK(holds.back().lease_until_ms.has_value());
    fence = holds.back().fence;
  }
}

// Guards against the same where the send arrived before any call of the leader.
TEST_CASE("a run that a late send began on a new boot is stopped") {
  OpenSendFixture f;
  f.running["w0"][f.task] = {1, 0};
  f.Restart(2);
  REQUIRE(f.stopped.size() == 1);
  CHECK(f.stopped[0].task == f.task);
  CHECK(f.stopped[0].run == 1);
  CHECK(f.stopped[0].reason == StopReason::kRestarted);
  CHECK(f.stopped[0].fence > f.started.back().fence);
}

// Guards against a send that arrives before the leader hears of the new boot.
TEST_CASE("a silent worker is asked again soon while a send to it is open") {
  OpenSendFixture f;
  f.silent["w0"] = true;
  const auto count_holds = [&f](Millis time) {
    f.Run(Millis{400});
    f.sent_holds.clear();
    f.Run(time);
    return f.sent_holds.size();
  };
  CHECK(count_holds(Millis{1000}) >= 15);
  f.Run(Millis{13000});
  CHECK(count_holds(Millis{1000}) <= 5);
}

}  // namespace azurespur::jobs
