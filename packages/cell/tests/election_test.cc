#include "election.h"

#include <doctest/doctest.h>

namespace azurespur::cell {

namespace {

using base::Millis;
using base::MonoTime;

constexpr MonoTime kStart{Millis{100000}};

ElectionView Follower() {
  ElectionView view;
  view.caught_up = true;
  view.epoch = 7;
  view.last_advance = kStart;
  view.last_read = kStart;
  view.leader_heard = kStart + Millis{10000};
  return view;
}

}  // namespace

TEST_CASE(
    "a follower starts an election only once a read confirms the timeout") {
  const ElectionTiming timing;
  ElectionView view = Follower();
  CHECK_FALSE(ShouldStartElection(view, timing, kStart, kStart + Millis{1600}));
  view.last_read = kStart + Millis{1550};
  CHECK(ShouldStartElection(view, timing, kStart, kStart + Millis{1600}));
  CHECK_FALSE(ShouldStartElection(view, timing, kStart, kStart + Millis{2100}));
}

// The leader's VM loses power or is cut off from the other VMs.
TEST_CASE("a leader whose datagrams have stopped too is replaced sooner") {
  ElectionView view = Follower();
  view.last_read = kStart + Millis{680};
  CHECK_FALSE(ShouldStartElection(view, {}, kStart, kStart + Millis{700}));
  view.leader_heard = kStart;
  CHECK(ShouldStartElection(view, {}, kStart, kStart + Millis{700}));
  view.last_read = kStart + Millis{390};
  CHECK_FALSE(ShouldStartElection(view, {}, kStart, kStart + Millis{700}));
  view.last_read = kStart + Millis{410};
  CHECK(ShouldStartElection(view, {}, kStart, kStart + Millis{450}));
}

// The log no longer serves the leader's VM, so its term has ended.
TEST_CASE("a VM that can't read the log starts no election, whoever led") {
  ElectionView view = Follower();
  view.was_self = true;
  CHECK(ShouldStartElection(view, {}, kStart, kStart + Millis{400}));
  CHECK_FALSE(ShouldStartElection(view, {}, kStart, kStart + Millis{401}));
  view.yielded = true;
  CHECK_FALSE(ShouldStartElection(view, {}, kStart, kStart + Millis{401}));
}

TEST_CASE("a follower starts no election while the leader appends records") {
  ElectionView view = Follower();
  view.last_advance = kStart + Millis{1000};
  view.last_read = kStart + Millis{1550};
  CHECK_FALSE(ShouldStartElection(view, {}, kStart, kStart + Millis{1600}));
}

TEST_CASE("a yield, a restart of the leader and an empty log need no timeout") {
  ElectionView view = Follower();
  view.yielded = true;
  CHECK(ShouldStartElection(view, {}, kStart, kStart));
  view = Follower();
  view.was_self = true;
  CHECK(ShouldStartElection(view, {}, kStart, kStart));
  view = Follower();
  view.epoch = 0;
  CHECK(ShouldStartElection(view, {}, kStart, kStart));
}

TEST_CASE("a VM that drains or has not caught up starts no election") {
  ElectionView view = Follower();
  view.yielded = true;
  view.draining = true;
  CHECK_FALSE(ShouldStartElection(view, {}, kStart, kStart));
  view.draining = false;
  view.caught_up = false;
  CHECK_FALSE(ShouldStartElection(view, {}, kStart, kStart));
}

TEST_CASE("slower VMs start elections later, within a bound") {
  CHECK(ElectionDelay(350) > ElectionDelay(70));
  CHECK(ElectionDelay(1e9) <= Millis{500});
}

// Guards against a leader whose fencing tokens reach those of its successor, or
// that can't raise them for the restarts of its workers.
TEST_CASE("the fencing tokens of a term end below the next epoch") {
  for (const uint64_t nonce : {uint64_t{0}, uint64_t{1}, UINT64_MAX}) {
    const uint64_t epoch = NextEpoch(0, nonce);
    CHECK(LastFence(epoch) - epoch >= uint64_t{1} << 19);
    CHECK(LastFence(epoch) < NextEpoch(epoch, 0));
  }
}

TEST_CASE("epochs increase, differ between VMs and are exact in JSON") {
  const uint64_t first = NextEpoch(0, 0xfffffffffULL);
  const uint64_t other = NextEpoch(0, 1);
  CHECK(first != other);
  CHECK(NextEpoch(first, 0) > first);
  CHECK(NextEpoch(other, 0) > first);
  CHECK(NextEpoch(uint64_t{1} << 51, 5) < uint64_t{1} << 53);
}

}  // namespace azurespur::cell
