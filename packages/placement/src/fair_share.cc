#include "placement/fair_share.h"

#include <algorithm>
#include <array>
#include <cstddef>
#include <limits>

namespace azurespur::placement {
namespace {

constexpr size_t kResources = 3;
// Rounding in the sums of shares.
constexpr double kTolerance = 1e-9;

using Amounts = std::array<double, kResources>;

Amounts SharesOf(const Resources& wanted, const Resources& capacity) {
  const auto share = [](int64_t amount, int64_t whole) {
    return whole > 0 ? ResourceShare(amount, whole) : 0;
  };
  return {share(wanted.cpu_millis, capacity.cpu_millis),
          share(wanted.memory_mb, capacity.memory_mb),
          share(wanted.accelerators, capacity.accelerators)};
}

struct Claim {
  size_t index = 0;
  double weight = 1;
  double wanted = 0;  // Dominant share.
  Amounts rates{};    // What it takes of each resource as the level rises by 1.
  bool active = true;
};

// The state of the filling: a claim has `weight * level`, at most what it
// wants.
struct Filling {
  std::vector<Claim> claims;  // By ascending level at which they are met.
  Amounts used{};             // By claims that no longer rise.
  Amounts rates{};            // Of the active claims together.
  std::array<bool, kResources> full{};
  // Level at which the first resource was used up; 0 if none was.
  double first_full = 0;
};

Filling Begin(std::span<const ShareClaim> claims, const Resources& capacity) {
  Filling filling;
  for (size_t i = 0; i < claims.size(); ++i) {
    Claim claim;
    claim.index = i;
    claim.weight = claims[i].weight;
    const Amounts shares = SharesOf(claims[i].wanted, capacity);
    claim.wanted = *std::max_element(shares.begin(), shares.end());
    if (claim.wanted <= 0) {
      claim.active = false;
    }
    for (size_t r = 0; r < kResources && claim.active; ++r) {
      claim.rates[r] = claim.weight * shares[r] / claim.wanted;
      filling.rates[r] += claim.rates[r];
    }
    filling.claims.push_back(claim);
  }
  std::stable_sort(filling.claims.begin(), filling.claims.end(),
                   [](const Claim& a, const Claim& b) {
                     return a.wanted / a.weight < b.wanted / b.weight;
                   });
  return filling;
}

// The claim stays at `level`.
void Settle(Filling& filling, Claim& claim, double level) {
  claim.active = false;
  for (size_t r = 0; r < kResources; ++r) {
    filling.used[r] += claim.rates[r] * level;
    filling.rates[r] -= claim.rates[r];
  }
}

// Returns the level at which the resource is used up.
double FullLevel(const Filling& filling, size_t r) {
  if (filling.full[r] || filling.rates[r] <= kTolerance) {
    return std::numeric_limits<double>::infinity();
  }
  return std::max(0.0, (1 - filling.used[r]) / filling.rates[r]);
}

// Settles the claims on all resources that are used up before `level`.
void FillResources(Filling& filling,
                   double level,
                   std::vector<FairShare>& shares) {
  for (size_t round = 0; round < kResources; ++round) {
    size_t next = 0;
    for (size_t r = 1; r < kResources; ++r) {
      next = FullLevel(filling, r) < FullLevel(filling, next) ? r : next;
    }
    const double full = FullLevel(filling, next);
    if (full >= level) {
      return;
    }
    filling.full[next] = true;
    filling.first_full =
        round == 0 && filling.first_full == 0 ? full : filling.first_full;
    for (Claim& claim : filling.claims) {
      if (claim.active && claim.rates[next] > 0) {
        Settle(filling, claim, full);
        const double share = claim.weight * full;
        shares[claim.index] = {share, share};
      }
    }
  }
}

// What no claim takes of the resources that this one wants; of the cores if it
// wants nothing.
double SpareShare(const Filling& filling, const Claim& claim) {
  double spare = 1;
  for (size_t r = 0; r < kResources; ++r) {
    if (claim.rates[r] > 0 || (claim.wanted <= 0 && r == 0)) {
      spare = std::min(spare, 1 - filling.used[r]);
    }
  }
  return std::max(spare, 0.0);
}

}  // namespace

std::vector<FairShare> ComputeFairShares(std::span<const ShareClaim> claims,
                                         const Resources& capacity) {
  std::vector<FairShare> shares(claims.size());
  Filling filling = Begin(claims, capacity);
  for (Claim& claim : filling.claims) {
    const double level = claim.wanted / claim.weight;
    FillResources(filling, level, shares);
    if (claim.active) {
      Settle(filling, claim, level);
      shares[claim.index] = {claim.wanted, claim.wanted};
    }
  }
  for (const Claim& claim : filling.claims) {
    FairShare& share = shares[claim.index];
    share.limit =
        std::max({share.limit, share.granted + SpareShare(filling, claim),
                  claim.weight * filling.first_full});
    share.limit = std::min(share.limit, 1.0);
  }
  return shares;
}

}  // namespace azurespur::placement
