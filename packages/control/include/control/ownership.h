// Ownership of one worker by a lease that is held on the worker itself: a
// marker task of no size which the owner renews. A pure state machine; the
// rules and the reasons are in docs/design/ownership.md.

#ifndef CONTROL_OWNERSHIP_H_
#define CONTROL_OWNERSHIP_H_

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "base/clock.h"
#include "services/worker_client.h"

namespace azurespur::control {

struct OwnershipOptions {
  base::Millis lease{3000};
  base::Millis renew_interval{1000};
  // Taken off every lease for clocks that run at different speeds.
  base::Millis drift_margin{100};
  // A candidate that passed owns only after a report made this much later on
  // the worker's clock still shows its marker. Must be at least `lease`.
  base::Millis settle{3000};
  // Wait after a withdrawal, and the extra wait for each rank.
  base::Millis backoff{300};
};

enum class OwnershipPhase {
  kIdle,
  kStarting,  // Marker sent; no report shows it yet.
  kSettling,  // A report showed the marker and no other.
  kOwned,
};

struct OwnershipState {
  std::string candidate;  // VM id and incarnation; first part of the marker.
  OwnershipPhase phase = OwnershipPhase::kIdle;
  uint64_t attempt = 0;
  std::string marker;  // Empty while idle.
  bool start_answered = false;
  bool seen_free = false;      // The newest report showed no marker.
  base::MonoTime started_at;   // Of this attempt.
  base::MonoTime valid_until;  // The lease that this VM may rely on.
  base::MonoTime renew_sent;   // Newest renewal.
  base::MonoTime retry_at;     // No attempt earlier.
  std::string boot;            // Of the newest report.
  int64_t made_ms = 0;         // Of the newest report.
  int64_t first_seen_ms = 0;   // Of the report that showed the marker first.
};

// What the caller has to do. Markers are started throttled, with no size.
struct OwnershipStep {
  std::optional<std::string> start;
  std::optional<std::string> renew;
  std::optional<std::string> stop;
  bool owned = false;  // Ownership began.
  bool lost = false;   // Ownership ended.
};

enum class LeaseAnswer { kGranted, kGone, kUnanswered };

// A report as ownership sees it.
struct OwnershipReport {
  std::string_view boot;
  int64_t made_ms = 0;
  std::span<const std::string_view> markers;  // Held on the worker.
};

bool IsOwnershipMarker(std::string_view worker_task_id);

// True if `now` is within the lease of an owner.
bool OwnsWorker(const OwnershipState& state, base::MonoTime now);

// Reports must be passed in the order in which they were received.
OwnershipStep OnOwnershipReport(OwnershipState& state,
                                const OwnershipOptions& options,
                                const OwnershipReport& report,
                                base::MonoTime now);

// `sent` is read before the message was sent.
OwnershipStep OnMarkerStartAnswer(OwnershipState& state,
                                  const OwnershipOptions& options,
                                  std::string_view marker,
                                  LeaseAnswer answer,
                                  base::MonoTime sent,
                                  base::MonoTime now);
OwnershipStep OnMarkerRenewAnswer(OwnershipState& state,
                                  const OwnershipOptions& options,
                                  std::string_view marker,
                                  LeaseAnswer answer,
                                  base::MonoTime sent,
                                  base::MonoTime now);

// `seeks`: this VM wants the worker. `rank`: its place among those that do.
OwnershipStep OnOwnershipTick(OwnershipState& state,
                              const OwnershipOptions& options,
                              bool seeks,
                              size_t rank,
                              base::MonoTime now);

// Gives the worker up.
OwnershipStep ResignOwnership(OwnershipState& state, base::MonoTime now);

}  // namespace azurespur::control

#endif  // CONTROL_OWNERSHIP_H_
