#include "leader_choice.h"

#include <doctest/doctest.h>

#include <vector>

#include "election.h"

namespace azurespur::cell {

namespace {

using base::Millis;

constexpr size_t kPeers = 30;
constexpr VmResources kWide{0.5, 1, 200};
constexpr VmResources kNarrow{0.12, 1, 10};

LeaderCandidate Candidate(const VmResources& resources) {
  LeaderCandidate candidate;
  candidate.work_micros = 50;
  candidate.suitability = LeaderSuitability(resources, kPeers);
  candidate.ready = true;
  return candidate;
}

Millis DelayWithBest(const VmResources& self, const VmResources& best) {
  return CandidateDelay(Candidate(self), LeaderSuitability(best, kPeers));
}

}  // namespace

TEST_CASE("suitability follows the scarcer of link and processor") {
  CHECK(LeaderSuitability(kWide, kPeers) == 1);
  CHECK(LeaderSuitability({0.5, 1, 10}, kPeers) < 0.2);
  CHECK(LeaderSuitability({0.12, 1, 1000}, kPeers) ==
        doctest::Approx(LeaderSuitability({0.24, 0.5, 1000}, kPeers)));
  CHECK(LeaderSuitability({0.12, 1, 1000}, kPeers) < 0.3);
  CHECK(LeaderSuitability({0.5, 1, 30}, 3) >
        LeaderSuitability({0.5, 1, 30}, kPeers));
}

TEST_CASE("a VM of unknown resources has no suitability") {
  CHECK(LeaderSuitability({}, kPeers) == 0);
  CHECK(LeaderSuitability({0.5, 1, 0}, kPeers) == 0);
  CHECK(LeaderSuitability({0, 1, 200}, kPeers) == 0);
}

// A VM with a narrow link and little processor time was elected while better
// suited VMs lived, and little was served during its term.
TEST_CASE("the better suited of unlike VMs starts its election first") {
  // Takes the jitter, a read and the append of the better suited VM.
  constexpr Millis kHeadStart{150};
  CHECK(DelayWithBest(kNarrow, kWide) >=
        DelayWithBest(kWide, kNarrow) + kHeadStart);
  CHECK(DelayWithBest(kWide, kNarrow) == ElectionDelay(50));
  CHECK(DelayWithBest(kWide, kWide) == ElectionDelay(50));
}

TEST_CASE("the best of the rest waits for nobody") {
  CHECK(DelayWithBest(kNarrow, kNarrow) == ElectionDelay(50));
}

// All VMs have just started, so none knows which others are alive.
TEST_CASE("a VM that knows no other waits if it is unsuited itself") {
  CHECK(CandidateDelay(Candidate(kNarrow), 0) >
        CandidateDelay(Candidate(kWide), 0));
  CHECK(CandidateDelay(Candidate(kNarrow), 0) <= Millis{500});
}

TEST_CASE("equal VMs and unknown resources change nothing in elections") {
  constexpr VmResources kEqual{0.25, 1, 1000};
  CHECK(DelayWithBest(kEqual, kEqual) == ElectionDelay(50));
  CHECK(CandidateDelay(Candidate(kEqual), 0) == ElectionDelay(50));
  CHECK(DelayWithBest({}, kWide) == ElectionDelay(50));
  CHECK(CandidateDelay(Candidate({}), 0) == ElectionDelay(50));
}

// The same term as above: the leader kept it until a fault ended it.
TEST_CASE(
    "a leader yields to a clearly better suited follower, not the reverse") {
  const std::vector<LeaderCandidate> wide = {Candidate(kNarrow),
                                             Candidate(kWide)};
  CHECK(FindYieldReason(Candidate(kNarrow), wide) == YieldReason::kLessSuited);
  CHECK(FindYieldReason(Candidate(kWide), wide) == YieldReason::kNone);
  const std::vector<LeaderCandidate> narrow = {Candidate(kNarrow)};
  CHECK(FindYieldReason(Candidate(kWide), narrow) == YieldReason::kNone);
  CHECK(FindYieldReason(Candidate(kNarrow), narrow) == YieldReason::kNone);
}

TEST_CASE("a leader does not yield to a follower that could not lead") {
  std::vector<LeaderCandidate> followers = {Candidate(kWide)};
  followers[0].ready = false;
  CHECK(FindYieldReason(Candidate(kNarrow), followers) == YieldReason::kNone);
  CHECK(BestSuitability(followers) == 0);
}

TEST_CASE("a leader does not yield for little, or for unknown resources") {
  const std::vector<LeaderCandidate> little_better = {
      Candidate({0.3, 1, 1000})};
  CHECK(FindYieldReason(Candidate({0.25, 1, 1000}), little_better) ==
        YieldReason::kNone);
  const std::vector<LeaderCandidate> unknown = {Candidate({})};
  CHECK(FindYieldReason(Candidate(kNarrow), unknown) == YieldReason::kNone);
  CHECK(FindYieldReason(Candidate({}), little_better) == YieldReason::kNone);
}

TEST_CASE("a slow leader yields, whatever is known of resources") {
  LeaderCandidate slow = Candidate({});
  slow.work_micros = 200;
  const std::vector<LeaderCandidate> unknown = {Candidate({})};
  CHECK(FindYieldReason(slow, unknown) == YieldReason::kSlow);
  slow.suitability = LeaderSuitability(kWide, kPeers);
  const std::vector<LeaderCandidate> wide = {Candidate(kWide)};
  CHECK(FindYieldReason(slow, wide) == YieldReason::kSlow);
}

// Guards against leaders that yield in turn: a VM that can't take over is no
// reason to yield.
TEST_CASE("a slow leader does not yield to a VM that is not ready") {
  LeaderCandidate slow = Candidate({});
  slow.work_micros = 200;
  LeaderCandidate fast = Candidate({});
  fast.ready = false;
  CHECK(FindYieldReason(slow, std::vector<LeaderCandidate>{fast}) ==
        YieldReason::kNone);
}

// Else the narrow VM would yield back at once.
TEST_CASE("a slow leader does not yield to one that is clearly less suited") {
  LeaderCandidate slow = Candidate(kWide);
  slow.work_micros = 200;
  const std::vector<LeaderCandidate> narrow = {Candidate(kNarrow)};
  CHECK(FindYieldReason(slow, narrow) == YieldReason::kNone);
}

}  // namespace azurespur::cell
