// Decides which VM of a cell should lead, from the resources and the measured
// speed of the VMs. Does no I/O and reads no clock.

#ifndef CELL_SRC_LEADER_CHOICE_H_
#define CELL_SRC_LEADER_CHOICE_H_

#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>

#include "base/clock.h"
#include "cell/vm_resources.h"

namespace azurespur::cell {

// The part of the load of a leader with `peers` followers that a VM can carry:
// above 0, at most 1, or 0 if its resources are unknown.
double LeaderSuitability(const VmResources& resources, size_t peers);

// The link that a leader with `peers` followers needs, in Mbit/s.
double RequiredLinkMbps(size_t peers);

// True if a VM of suitability `other` should lead rather than one of `own`.
// Always false if one of them is unknown.
bool IsClearlyBetterSuited(double other, double own);

struct LeaderCandidate {
  double work_micros = 0;  // Result of a SpeedProbe; 0 if unknown.
  double suitability = 0;
  bool ready = false;  // Could lead now.
};

// How much later than others `self` starts an election.
// `best_peer_suitability` is that of the best live follower of the last leader,
// 0 if unknown.
base::Millis CandidateDelay(const LeaderCandidate& self,
                            double best_peer_suitability);

// The highest suitability of the followers that are ready, 0 if none is known.
double BestSuitability(std::span<const LeaderCandidate> followers);

enum class YieldReason : uint8_t { kNone, kSlow, kLessSuited };

std::string_view YieldReasonName(YieldReason reason);

// Whether a leader should yield in favour of one of its followers.
YieldReason FindYieldReason(const LeaderCandidate& leader,
                            std::span<const LeaderCandidate> followers);

}  // namespace azurespur::cell

#endif  // CELL_SRC_LEADER_CHOICE_H_
