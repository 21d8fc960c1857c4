#include "unstored_ends.h"

#include <doctest/doctest.h>

#include <vector>

namespace azurespur::cell {

using base::Millis;

namespace {

constexpr int32_t kTasks = 3;

// All tasks of job 1 run for the first time.
struct EndsFixture {
  EndsFixture() {
    jobs::JobSpec spec;
    spec.id = 1;
    spec.queue = "q";
    spec.steps.resize(1);
    spec.steps[0].count = kTasks;
    table.Submit(spec, now);
    for (int32_t i = 0; i < kTasks; ++i) {
      table.Apply(jobs::BindRecord{{1, 0, i}, 1, {"w", 1}}, now);
    }
  }

  void Add(int32_t index, int64_t end_number) {
    const jobs::EndRecord end{{1, 0, index}, 1, jobs::EndKind::kDone, ""};
    const jobs::PendingRecord pending{end, {"w", 1}, end_number};
    ends.Add({&pending, 1}, now);
  }

  jobs::JobTable table;
  UnstoredEnds ends;
  base::MonoTime now{Millis{100000}};
};

}  // namespace

// Guards against a run that is called over on a conclusion of a leader that has
// been replaced.
TEST_CASE("an end that no worker reported is not handed over") {
  EndsFixture f;
  f.Add(0, 0);
  CHECK(f.ends.empty());
  f.Add(1, 7);
  REQUIRE(f.ends.All().size() == 1);
  CHECK(f.ends.All()[0].end.task.index == 1);
  CHECK(f.ends.All()[0].worker == "w");
}

// Guards against an end that is lost with one datagram, and against datagrams
// without end.
TEST_CASE("an end is sent again at intervals until its run is over") {
  EndsFixture f;
  f.Add(0, 1);
  CHECK(f.ends.TakeDue(1000, f.now).size() == 1);
  CHECK(f.ends.TakeDue(1000, f.now).empty());
  f.now += Millis{300};
  f.ends.RemoveKnown(f.table, f.now);
  CHECK(f.ends.TakeDue(1000, f.now).size() == 1);
  SUBCASE("by the table") {
    f.table.Apply(jobs::EndRecord{{1, 0, 0}, 1, jobs::EndKind::kReleased, ""},
                  f.now);
  }
  SUBCASE("as its job is unknown") {
    f.table = {};
  }
  SUBCASE("by its age") {
    f.now += Millis{31000};
  }
  f.ends.RemoveKnown(f.table, f.now);
  CHECK(f.ends.empty());
}

// Guards against a datagram that is too long to be sent, and ends that are
// never sent.
TEST_CASE("ends that don't fit into one datagram are sent in turn") {
  EndsFixture f;
  std::vector<int32_t> sent;
  for (int32_t i = 0; i < kTasks; ++i) {
    f.Add(i, i + 1);
  }
  for (int32_t i = 0; i <= kTasks; ++i) {
    const std::vector<WorkerEnd> due = f.ends.TakeDue(10, f.now);
    REQUIRE(due.size() == 1);
    sent.push_back(due[0].end.task.index);
    f.now += Millis{300};
  }
  CHECK(sent == std::vector<int32_t>{0, 1, 2, 0});
}

}  // namespace azurespur::cell
