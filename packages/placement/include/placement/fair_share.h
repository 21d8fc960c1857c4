// Weighted max-min fair shares of a cell's capacity over the dominant share.

#ifndef PLACEMENT_FAIR_SHARE_H_
#define PLACEMENT_FAIR_SHARE_H_

#include <span>
#include <vector>

#include "placement/resources.h"

namespace azurespur::placement {

struct ShareClaim {
  double weight = 1;  // Above 0.
  Resources wanted;   // What it uses and waits for, at most its cap.
};

// Shares of the capacity, as dominant shares.
struct FairShare {
  double granted = 0;  // Of what is wanted.
  // Up to here the claim could grow before others would get less than their
  // fair share. At least `granted`.
  double limit = 0;
};

// Raises all claims in proportion to their weights until each is met or a
// resource that it wants is used up (water filling). A resource without
// capacity is left out. Returns one share for each claim, in their order.
std::vector<FairShare> ComputeFairShares(std::span<const ShareClaim> claims,
                                         const Resources& capacity);

}  // namespace azurespur::placement

#endif  // PLACEMENT_FAIR_SHARE_H_
