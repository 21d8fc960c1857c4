#include <doctest/doctest.h>

#include "node_fixture.h"

namespace azurespur::cell {

namespace {

constexpr base::Millis kBudget{2000};

}  // namespace

TEST_CASE("a VM that reads the streams answers the count of pending jobs") {
  NodeFixture f;
  f.StoreJobs(1, 92);
  f.Pass(base::Millis{500});
  const auto answer = f.AskPending(kBudget);
  REQUIRE(answer);
  CHECK(answer->count == 92);
}

// Guards against a VM answering 0 before it has read anything, as VMs did that
// could not read the streams after a restart.
TEST_CASE("a VM that has read nothing does not answer a count") {
  NodeFixture f;
  f.StoreJobs(1, 92);
  f.log.log.readable = false;
  f.Pass(base::Millis{500});
  f.AskPending(kBudget);
  f.Pass(kBudget);
  REQUIRE(*f.pending_answer);
  CHECK_FALSE((*f.pending_answer)->count);
}

// Guards against a count from a table that lags behind the stream.
TEST_CASE("a VM whose view is over 2 s old does not answer a count") {
  NodeFixture f;
  f.StoreJobs(1, 10);
  f.Pass(base::Millis{500});
  f.log.log.readable = false;
  f.StoreJobs(100, 90);
  f.Pass(base::Millis{2500});
  f.AskPending(kBudget);
  f.Pass(kBudget);
  REQUIRE(*f.pending_answer);
  CHECK_FALSE((*f.pending_answer)->count);
}

// Guards against refusing a count that can be answered within the caller's
// time.
TEST_CASE("a VM catches up to answer a count") {
  NodeFixture f;
  f.StoreJobs(1, 10);
  f.Pass(base::Millis{500});
  f.log.log.readable = false;
  f.StoreJobs(100, 90);
  f.Pass(base::Millis{2500});
  f.log.log.readable = true;
  f.log.page_records = 50;
  f.AskPending(kBudget);
  f.Pass(base::Millis{500});
  REQUIRE(*f.pending_answer);
  CHECK((*f.pending_answer)->count == 100);
}

// Guards against the answer 0 of a node that takes no more questions.
TEST_CASE("a node whose mailbox is full does not answer a count") {
  NodeFixture f;
  f.StoreJobs(1, 92);
  f.Pass(base::Millis{500});
  std::vector<std::optional<int64_t>> counts;
  for (size_t i = 0; i <= 4 * kMailboxSize && counts.empty(); ++i) {
    f.node.CountPending("q", f.clock.now + kBudget,
                        [&counts](PendingCountResult result) {
                          counts.push_back(result.count);
                        });
  }
  REQUIRE(counts.size() == 1);
  CHECK_FALSE(counts.front());
}

}  // namespace azurespur::cell
