#include "control/ownership.h"

#include <algorithm>

namespace azurespur::control {

namespace {

constexpr std::string_view kMarkerPrefix = "owner~";
// An attempt that no report showed for this many leases is given up.
constexpr int kStartingLeases = 2;

std::string MarkerName(const OwnershipState& state) {
  return std::string(kMarkerPrefix) + state.candidate + "~" +
         std::to_string(state.attempt);
}

// Forgets everything that was believed of the worker. The next attempt has a
// new marker, so a late answer to this one is recognised.
OwnershipStep Drop(OwnershipState& state, base::MonoTime retry_at) {
  OwnershipStep step;
  if (!state.marker.empty()) {
    step.stop = state.marker;
  }
  step.lost = state.phase == OwnershipPhase::kOwned;
  state.phase = OwnershipPhase::kIdle;
  state.marker.clear();
  state.start_answered = false;
  state.seen_free = false;
  state.valid_until = {};
  state.retry_at = retry_at;
  return step;
}

void Extend(OwnershipState& state,
            const OwnershipOptions& options,
            base::MonoTime sent) {
  const base::MonoTime until = sent + options.lease - options.drift_margin;
  state.valid_until = std::max(state.valid_until, until);
}

}  // namespace

bool IsOwnershipMarker(std::string_view worker_task_id) {
  return worker_task_id.starts_with(kMarkerPrefix);
}

bool OwnsWorker(const OwnershipState& state, base::MonoTime now) {
  return state.phase == OwnershipPhase::kOwned && now < state.valid_until;
}

OwnershipStep OnOwnershipReport(OwnershipState& state,
                                const OwnershipOptions& options,
                                const OwnershipReport& report,
                                base::MonoTime now) {
  const bool same_boot = state.boot == report.boot;
  if (same_boot && report.made_ms <= state.made_ms) {
    return {};
  }
  state.boot = report.boot;
  state.made_ms = report.made_ms;
  state.seen_free = report.markers.empty();
  const bool own =
      std::ranges::find(report.markers, state.marker) != report.markers.end();
  const bool foreign = report.markers.size() > (own ? 1u : 0u);
  const base::MonoTime retry_at = now + options.backoff;

  switch (state.phase) {
    case OwnershipPhase::kIdle:
      return {};
    case OwnershipPhase::kStarting:
      if (!own) {
        return {};  // May have been made before the marker was started.
      }
      if (foreign) {
        return Drop(state, retry_at);
      }
      state.phase = OwnershipPhase::kSettling;
      state.first_seen_ms = report.made_ms;
      return {};
    case OwnershipPhase::kSettling: {
      if (!own || !same_boot) {
        return Drop(state, retry_at);
      }
      const int64_t shown_ms = report.made_ms - state.first_seen_ms;
      if (shown_ms < options.settle.count() || state.valid_until <= now) {
        return {};
      }
      state.phase = OwnershipPhase::kOwned;
      OwnershipStep step;
      step.owned = true;
      return step;
    }
    case OwnershipPhase::kOwned:
      if (!own || !same_boot) {
        return Drop(state, retry_at);
      }
      return {};
  }
  return {};
}

OwnershipStep OnMarkerStartAnswer(OwnershipState& state,
                                  const OwnershipOptions& options,
                                  std::string_view marker,
                                  LeaseAnswer answer,
                                  base::MonoTime sent,
                                  base::MonoTime now) {
  if (state.marker.empty() || marker != state.marker) {
    return {};
  }
  state.start_answered = true;
  if (answer == LeaseAnswer::kGone) {
    return Drop(state, now + options.backoff);
  }
  if (answer == LeaseAnswer::kGranted) {
    Extend(state, options, sent);
  }
  return {};
}

OwnershipStep OnMarkerRenewAnswer(OwnershipState& state,
                                  const OwnershipOptions& options,
                                  std::string_view marker,
                                  LeaseAnswer answer,
                                  base::MonoTime sent,
                                  base::MonoTime now) {
  if (state.marker.empty() || marker != state.marker) {
    return {};
  }
  if (answer == LeaseAnswer::kGone) {
    return Drop(state, now + options.backoff);
  }
  if (answer == LeaseAnswer::kGranted) {
    Extend(state, options, sent);
  }
  return {};
}

OwnershipStep OnOwnershipTick(OwnershipState& state,
                              const OwnershipOptions& options,
                              bool seeks,
                              size_t rank,
                              base::MonoTime now) {
  if (state.phase == OwnershipPhase::kIdle) {
    if (!seeks || !state.seen_free) {
      state.retry_at = std::max(
          state.retry_at, now + options.backoff * static_cast<int64_t>(rank));
      return {};
    }
    if (now < state.retry_at) {
      return {};
    }
    ++state.attempt;
    state.marker = MarkerName(state);
    state.phase = OwnershipPhase::kStarting;
    state.started_at = now;
    state.renew_sent = now;
    OwnershipStep step;
    step.start = state.marker;
    return step;
  }
  const bool lapsed =
      state.phase == OwnershipPhase::kOwned && now >= state.valid_until;
  const bool unseen = state.phase == OwnershipPhase::kStarting &&
                      now >= state.started_at + options.lease * kStartingLeases;
  if (lapsed || unseen) {
    return Drop(state, now + options.backoff);
  }
  if (state.start_answered &&
      now >= state.renew_sent + options.renew_interval) {
    state.renew_sent = now;
    OwnershipStep step;
    step.renew = state.marker;
    return step;
  }
  return {};
}

OwnershipStep ResignOwnership(OwnershipState& state, base::MonoTime now) {
  return Drop(state, now);
}

}  // namespace azurespur::control
