#include "view_waiters.h"

#include <doctest/doctest.h>

#include <vector>

namespace azurespur::cell {

namespace {

constexpr base::MonoTime At(int64_t ms) {
  return base::MonoTime{base::Millis{ms}};
}

ViewRequirement AtMostOld(int64_t ms) {
  ViewRequirement requirement;
  requirement.max_age = base::Millis{ms};
  return requirement;
}

bool KnowsNone(jobs::JobId /*job*/) {
  return false;
}

}  // namespace

TEST_CASE("a view without a known age meets no limit") {
  CHECK_FALSE(IsCurrent(ViewTimes{}, AtMostOld(2000), At(0)));
  CHECK_FALSE(
      IsCurrent(ViewTimes{At(0), std::nullopt}, AtMostOld(2000), At(0)));
  CHECK(IsCurrent(ViewTimes{At(0), At(0)}, AtMostOld(2000), At(2000)));
  CHECK_FALSE(IsCurrent(ViewTimes{At(0), At(0)}, AtMostOld(2000), At(2001)));
}

TEST_CASE("a question ends once its view is current, or at its deadline") {
  ViewWaiters waiters;
  std::vector<bool> results;
  const auto note = [&results](bool current) { results.push_back(current); };
  ViewRequirement asked_now;
  asked_now.not_before = At(100);
  asked_now.needs_work = false;
  CHECK(waiters.Add(asked_now, At(1000), note));
  waiters.Tick({At(99), std::nullopt}, KnowsNone, At(200));
  CHECK(results.empty());
  CHECK(waiters.FindMissing({At(99), std::nullopt}, At(200)).intake);
  CHECK_FALSE(waiters.FindMissing({At(99), std::nullopt}, At(200)).work);
  waiters.Tick({At(100), std::nullopt}, KnowsNone, At(300));
  CHECK(results == std::vector<bool>{true});
  CHECK(waiters.Add(asked_now, At(1000), note));
  waiters.Tick({At(99), At(99)}, KnowsNone, At(1000));
  CHECK(results == std::vector<bool>{true, false});
  CHECK_FALSE(waiters.FindMissing({}, At(1000)).intake);
}

TEST_CASE("a question about a job ends once the job is known") {
  ViewWaiters waiters;
  std::vector<bool> results;
  ViewRequirement asked_now;
  asked_now.not_before = At(100);
  asked_now.job = 7;
  const auto note = [&results](bool current) { results.push_back(current); };
  CHECK(waiters.Add(asked_now, At(1000), note));
  const auto knows = [](jobs::JobId known) {
    return [known](jobs::JobId job) { return job == known; };
  };
  waiters.Tick({}, knows(8), At(200));
  CHECK(results.empty());
  waiters.Tick({}, knows(7), At(200));
  CHECK(results == std::vector<bool>{false});
}

TEST_CASE("the number of waiting questions is bounded") {
  ViewWaiters waiters;
  int added = 0;
  while (added < 100000 && waiters.Add(AtMostOld(1), At(1), [](bool) {})) {
    ++added;
  }
  CHECK(added == 1024);
}

}  // namespace azurespur::cell
