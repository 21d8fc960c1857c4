// Choice of the VMs that send advice queries, under several kinds of load.

#include "jobs/advice_tracker.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

namespace azurespur::jobs {

namespace {

constexpr base::MonoTime kNow{base::Millis{1000}};
constexpr AdvicePolicy kShort{9, 0.1, 1500};
constexpr AdvicePolicy kBatch{82, 1.2, 1500};
constexpr AdvicePolicy kLong{650, 9, 1500};

struct TrackerFixture {
  explicit TrackerFixture(const std::vector<std::string>& vms) {
    tracker.SetVms(vms);
  }

  std::optional<AdviceQuery> StartQuery(const AdvicePolicy& policy) {
    ++job;
    return tracker.StartQuery({job, 0}, "queue", policy, {{"w", 1}}, kNow);
  }

  int CountQueries(const AdvicePolicy& policy, const std::string& vm) {
    int count = 0;
    while (const auto query = StartQuery(policy)) {
      count += query->vm == vm ? 1 : 0;
    }
    return count;
  }

  AdviceTracker tracker;
  JobId job = 0;
};

}  // namespace

// After a leader change there is a backlog of urgent jobs.
TEST_CASE("a VM has several short queries in flight") {
  TrackerFixture f({"a", "b"});
  const auto first = f.StartQuery(kShort);
  const auto second = f.StartQuery(kShort);
  REQUIRE(first.has_value());
  REQUIRE(second.has_value());
  CHECK(first->vm != second->vm);
  CHECK(f.CountQueries(kShort, "a") == 3);
  CHECK_FALSE(f.StartQuery(kShort).has_value());
  f.tracker.OnAnswer(first->id, {}, kNow);
  const auto next = f.StartQuery(kShort);
  REQUIRE(next.has_value());
  CHECK(next->vm == first->vm);
}

// Queries of batch jobs take 0.1 s and must not delay those of urgent jobs.
TEST_CASE("a short query does not wait behind a longer one of its VM") {
  TrackerFixture f({"a", "b"});
  const auto batch = f.StartQuery(kBatch);
  REQUIRE(batch.has_value());
  CHECK(f.CountQueries(kShort, batch->vm) == 0);
  CHECK_FALSE(f.StartQuery(kBatch).has_value());
}

// Queries of gangs take a second and must not delay those of urgent jobs.
TEST_CASE("no query waits behind a long one, and no long one behind others") {
  TrackerFixture f({"a", "b", "c", "d"});
  const auto longest = f.StartQuery(kLong);
  REQUIRE(longest.has_value());
  CHECK(f.CountQueries(kShort, longest->vm) == 0);
  CHECK_FALSE(f.StartQuery(kLong).has_value());
  f.tracker.OnAnswer(longest->id, {}, kNow);
  const auto next = f.StartQuery(kShort);
  REQUIRE(next.has_value());
  CHECK(next->vm == longest->vm);
  CHECK_FALSE(f.StartQuery(kLong).has_value());
}

TEST_CASE("two VMs are kept free of long queries") {
  TrackerFixture f({"a", "b", "c", "d"});
  CHECK(f.StartQuery(kLong).has_value());
  CHECK(f.StartQuery(kLong).has_value());
  CHECK_FALSE(f.StartQuery(kLong).has_value());
  CHECK(f.StartQuery(kShort).has_value());
}

// Guards against VMs that get no queries for a while because the query waited
// for this VM's own link.
TEST_CASE("a query's timeout includes its wait for the link") {
  TrackerFixture f({"a"});
  const auto at_once = f.StartQuery(kShort);
  REQUIRE(at_once.has_value());
  f.tracker.OnAnswer(at_once->id, {}, kNow);
  f.tracker.SetLinkWait(base::Millis{300});
  const auto waiting = f.StartQuery(kShort);
  REQUIRE(waiting.has_value());
  CHECK(waiting->timeout == at_once->timeout + base::Millis{300});
}

}  // namespace azurespur::jobs
