#include "leader_choice.h"

#include <algorithm>
#include <vector>

#include "election.h"
#include "speed_probe.h"

namespace azurespur::cell {

namespace {

constexpr double kBitsPerByte = 8;
constexpr double kBitsPerMegabit = 1e6;
// Records of both streams that a leader announces to each follower at the crest
// of the load: 1,600 a second of 100 bytes.
constexpr double kRecordBytesPerSecond = 160'000;
// The rest is left to the log, the workers and heartbeats.
constexpr double kMaxFanOutShareOfLink = 0.5;
constexpr double kLeaderCores = 0.5;
// A new leader hears of its followers one by one, and a VM that has just
// started knows of none, so fewer than this are not believed.
constexpr size_t kMinAssumedPeers = 8;
// Less than this factor does not outweigh the time that a takeover costs.
constexpr double kClearlyBetterFactor = 1.5;
// A VM that knows no other VM takes itself for unsuited below this.
constexpr double kMinSuitabilityAlone = 0.4;
// Covers the jitter and the interval of reads of a better suited VM.
constexpr base::Millis kUnsuitedDelay{200};

bool ShouldWaitForOthers(double own, double best_peer_suitability) {
  if (own <= 0) {
    return false;
  }
  return best_peer_suitability > 0
             ? IsClearlyBetterSuited(best_peer_suitability, own)
             : own < kMinSuitabilityAlone;
}

}  // namespace

double RequiredLinkMbps(size_t peers) {
  const auto count = static_cast<double>(std::max(peers, kMinAssumedPeers));
  return count * kRecordBytesPerSecond * kBitsPerByte / kBitsPerMegabit /
         kMaxFanOutShareOfLink;
}

double LeaderSuitability(const VmResources& resources, size_t peers) {
  const double cores = resources.cpu_share * resources.cpu_speed;
  if (cores <= 0 || resources.link_mbps <= 0) {
    return 0;
  }
  return std::min({1.0, resources.link_mbps / RequiredLinkMbps(peers),
                   cores / kLeaderCores});
}

bool IsClearlyBetterSuited(double other, double own) {
  return own > 0 && other >= own * kClearlyBetterFactor;
}

base::Millis CandidateDelay(const LeaderCandidate& self,
                            double best_peer_suitability) {
  const base::Millis delay = ElectionDelay(self.work_micros);
  return ShouldWaitForOthers(self.suitability, best_peer_suitability)
             ? delay + kUnsuitedDelay
             : delay;
}

double BestSuitability(std::span<const LeaderCandidate> followers) {
  double best = 0;
  for (const LeaderCandidate& follower : followers) {
    best = follower.ready ? std::max(best, follower.suitability) : best;
  }
  return best;
}

std::string_view YieldReasonName(YieldReason reason) {
  switch (reason) {
    case YieldReason::kNone:
      return "none";
    case YieldReason::kSlow:
      return "slow";
    case YieldReason::kLessSuited:
      return "less_suited";
  }
  return "unknown";
}

YieldReason FindYieldReason(const LeaderCandidate& leader,
                            std::span<const LeaderCandidate> followers) {
  if (IsClearlyBetterSuited(BestSuitability(followers), leader.suitability)) {
    return YieldReason::kLessSuited;
  }
  std::vector<double> speeds;
  for (const LeaderCandidate& follower : followers) {
    // One that is less suited would yield back.
    if (follower.ready &&
        !IsClearlyBetterSuited(leader.suitability, follower.suitability)) {
      speeds.push_back(follower.work_micros);
    }
  }
  return AnyMuchFaster(leader.work_micros, speeds) ? YieldReason::kSlow
                                                   : YieldReason::kNone;
}

}  // namespace azurespur::cell
