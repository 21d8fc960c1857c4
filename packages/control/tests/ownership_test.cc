#include "control/ownership.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "fake_time.h"

namespace azurespur::control {

namespace {

// What the model leaves out of the rules, to show that each is needed, or adds
// to the faults.
struct LeftOut {
  bool settle = false;        // The extra lease.
  bool withdrawal = false;    // Another's marker is not shown to a candidate.
  bool send_time = false;     // Leases count from the answer.
  bool renewal_gone = false;  // "Unknown" answers and reports are ignored.
  bool late_calls = false;    // Some calls land after a marker was dropped.
};

struct ModelOutcome {
  bool two_owners = false;
  bool owned = false;
};

// Two or three candidates and one worker with lost and slow answers, pauses
// longer than a lease, lagging and missing reports and worker restarts, one
// millisecond a step.
class Model {
 public:
  Model(uint64_t seed, const LeftOut& left_out)
      : m_random(seed), m_left_out(left_out) {
    m_options.lease = base::Millis(30);
    m_options.renew_interval = base::Millis(5);
    m_options.drift_margin = base::Millis(1);
    m_options.settle = base::Millis(left_out.settle ? 0 : 30);
    m_options.backoff = base::Millis(4);
    m_candidates.resize(Pick(2, 3));
    for (size_t i = 0; i < m_candidates.size(); ++i) {
      m_candidates[i].state.candidate = "c" + std::to_string(i);
    }
  }

  ModelOutcome Play() {
    constexpr int kSteps = 800;
    for (int step = 0; step < kSteps; ++step) {
      m_time.Advance(1);
      if (Chance(0.004)) {
        m_markers.clear();
        ++m_boot;
      }
      std::erase_if(m_markers, [this](const auto& marker) {
        return marker.second <= m_time.NowMillis();
      });
      if (step % 2 == 0) {
        SendReports();
      }
      for (size_t i = 0; i < m_candidates.size(); ++i) {
        StepCandidate(i);
      }
      Judge();
    }
    return m_outcome;
  }

 private:
  struct Candidate {
    OwnershipState state;
    int64_t paused_until_ms = 0;
    int64_t no_reports_until_ms = 0;
  };

  int64_t Pick(int64_t low, int64_t high) {
    return std::uniform_int_distribution<int64_t>(low, high)(m_random);
  }
  bool Chance(double share) {
    return std::uniform_real_distribution<double>(0, 1)(m_random) < share;
  }

  // Some calls land long after their sender has dropped the marker, under other
  // owners and in later boots.
  int64_t CallMillis() {
    const bool late = m_left_out.late_calls && Chance(0.1);
    return late ? Pick(10, 150) : Pick(0, 2);
  }

  // Delivers to a candidate, after its pause if it is paused.
  void Deliver(size_t index, int64_t delay_ms, std::function<void()> event) {
    m_time.After(delay_ms, [this, index, event] {
      const int64_t wait_ms =
          m_candidates[index].paused_until_ms - m_time.NowMillis();
      if (wait_ms > 0) {
        Deliver(index, wait_ms, event);
      } else {
        event();
      }
    });
  }

  void SendReports() {
    std::vector<std::string> markers;
    for (const auto& [marker, until_ms] : m_markers) {
      markers.push_back(marker);
    }
    const std::string boot = std::to_string(m_boot);
    const int64_t made_ms = m_time.NowMillis();
    for (size_t i = 0; i < m_candidates.size(); ++i) {
      if (m_candidates[i].no_reports_until_ms > made_ms) {
        continue;
      }
      Deliver(i, Pick(0, 4), [this, i, markers, boot, made_ms] {
        OwnershipState& state = m_candidates[i].state;
        if (state.boot == boot && made_ms <= state.made_ms) {
          return;
        }
        std::vector<std::string_view> seen;
        for (const std::string& marker : markers) {
          const bool hidden = m_left_out.withdrawal && marker != state.marker &&
                              state.phase == OwnershipPhase::kStarting;
          if (!hidden) {
            seen.push_back(marker);
          }
        }
        const bool gone =
            std::ranges::find(markers, state.marker) == markers.end();
        if (m_left_out.renewal_gone && gone &&
            state.phase == OwnershipPhase::kOwned) {
          return;
        }
        Act(i, OnOwnershipReport(state, m_options, {boot, made_ms, seen},
                                 m_time.Now()));
      });
    }
  }

  void StepCandidate(size_t index) {
    Candidate& candidate = m_candidates[index];
    if (candidate.paused_until_ms > m_time.NowMillis()) {
      return;
    }
    if (Chance(0.002)) {
      candidate.paused_until_ms = m_time.NowMillis() + Pick(1, 120);
      return;
    }
    if (Chance(0.002)) {
      candidate.no_reports_until_ms = m_time.NowMillis() + Pick(1, 120);
    }
    Act(index,
        OnOwnershipTick(candidate.state, m_options, true, index, m_time.Now()));
  }

  void Act(size_t index, const OwnershipStep& step) {
    if (step.stop) {
      m_time.After(CallMillis(),
                   [this, marker = *step.stop] { m_markers.erase(marker); });
    }
    if (step.start) {
      Send(index, *step.start, true);
    }
    if (step.renew) {
      Send(index, *step.renew, false);
    }
  }

  void Send(size_t index, const std::string& marker, bool start) {
    const base::MonoTime sent = m_time.Now();
    m_time.After(CallMillis(), [this, index, marker, start, sent] {
      const bool granted = start || m_markers.contains(marker);
      if (granted) {
        m_markers[marker] = m_time.NowMillis() + m_options.lease.count();
      }
      const bool lost = Chance(0.1) || (!granted && m_left_out.renewal_gone);
      const LeaseAnswer answer = lost      ? LeaseAnswer::kUnanswered
                                 : granted ? LeaseAnswer::kGranted
                                           : LeaseAnswer::kGone;
      const int64_t back_ms = Chance(0.05) ? Pick(0, 60) : Pick(0, 2);
      Deliver(index, back_ms, [this, index, marker, start, sent, answer] {
        const base::MonoTime now = m_time.Now();
        const base::MonoTime from = m_left_out.send_time ? now : sent;
        OwnershipState& state = m_candidates[index].state;
        Act(index, start ? OnMarkerStartAnswer(state, m_options, marker, answer,
                                               from, now)
                         : OnMarkerRenewAnswer(state, m_options, marker, answer,
                                               from, now));
      });
    });
  }

  void Judge() {
    const auto owners =
        std::ranges::count_if(m_candidates, [this](const Candidate& candidate) {
          return OwnsWorker(candidate.state, m_time.Now());
        });
    m_outcome.two_owners |= owners > 1;
    m_outcome.owned |= owners > 0;
  }

  FakeTime m_time;
  std::mt19937_64 m_random;
  const LeftOut m_left_out;
  OwnershipOptions m_options;
  std::vector<Candidate> m_candidates;
  std::map<std::string, int64_t> m_markers;
  int m_boot = 1;
  ModelOutcome m_outcome;
};

struct Tally {
  int two_owners = 0;
  int owned = 0;
};

Tally PlayRuns(const LeftOut& left_out) {
  constexpr uint64_t kRuns = 3000;
  Tally tally;
  for (uint64_t seed = 1; seed <= kRuns; ++seed) {
    const ModelOutcome outcome = Model(seed, left_out).Play();
    tally.two_owners += outcome.two_owners;
    tally.owned += outcome.owned;
  }
  return tally;
}

}  // namespace

TEST_CASE("a worker never has two owners") {
  const Tally tally = PlayRuns({});
  CHECK(tally.two_owners == 0);
  CHECK(tally.owned > 2900);
}

// Guards against a marker's start, renewal or stop that a later boot or a later
// owner's worker carries out.
TEST_CASE("marker calls that land late never make two owners") {
  LeftOut left_out;
  left_out.late_calls = true;
  const Tally tally = PlayRuns(left_out);
  CHECK(tally.two_owners == 0);
  CHECK(tally.owned > 2900);
}

TEST_CASE("without the extra lease there are two owners") {
  LeftOut left_out;
  left_out.settle = true;
  const Tally tally = PlayRuns(left_out);
  MESSAGE("runs with two owners: ", tally.two_owners);
  CHECK(tally.two_owners > 0);
}

TEST_CASE("without withdrawal there are two owners") {
  LeftOut left_out;
  left_out.withdrawal = true;
  const Tally tally = PlayRuns(left_out);
  MESSAGE("runs with two owners: ", tally.two_owners);
  CHECK(tally.two_owners > 0);
}

TEST_CASE("leases that count from the answer make two owners") {
  LeftOut left_out;
  left_out.send_time = true;
  const Tally tally = PlayRuns(left_out);
  MESSAGE("runs with two owners: ", tally.two_owners);
  CHECK(tally.two_owners > 0);
}

TEST_CASE("a marker that a restart forgot never makes two owners by itself") {
  LeftOut left_out;
  left_out.renewal_gone = true;
  CHECK(PlayRuns(left_out).two_owners == 0);
}

}  // namespace azurespur::control
