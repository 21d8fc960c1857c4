#include "executor_health.h"

#include <algorithm>

namespace azurespur::filters {

namespace {

constexpr int kMaxBackoffDoublings = 5;

}  // namespace

ExecutorHealth& HealthTable::GetOrCreate(size_t executor) {
  if (executor >= m_executors.size()) {
    m_executors.resize(executor + 1);
  }
  return m_executors[executor];
}

void HealthTable::SetPresent(size_t executor, bool present) {
  GetOrCreate(executor).present = present;
}

bool HealthTable::MayUse(size_t executor, base::MonoTime now) {
  ExecutorHealth& health = GetOrCreate(executor);
  if (!health.present) {
    return false;
  }
  if (health.state == ExecutorState::kEjected && now >= health.ejected_until) {
    health.state = ExecutorState::kProbing;
    health.probe_in_flight = false;
  }
  switch (health.state) {
    case ExecutorState::kHealthy:
      return true;
    case ExecutorState::kEjected:
      return false;
    case ExecutorState::kProbing:
      return !health.probe_in_flight;
  }
  return false;
}

void HealthTable::OnAttemptStarted(size_t executor) {
  ExecutorHealth& health = GetOrCreate(executor);
  if (health.state == ExecutorState::kProbing) {
    health.probe_in_flight = true;
  }
}

void HealthTable::OnInconclusive(size_t executor) {
  GetOrCreate(executor).probe_in_flight = false;
}

bool HealthTable::MayEjectMore() const {
  double present = 0;
  double ejected = 0;
  for (const ExecutorHealth& health : m_executors) {
    if (health.present) {
      present += 1;
      ejected += health.state == ExecutorState::kHealthy ? 0 : 1;
    }
  }
  return ejected + 1 <= present * m_options.max_ejected_share;
}

void HealthTable::Eject(ExecutorHealth& health, base::MonoTime now) {
  const int doublings =
      std::min(health.consecutive_ejections, kMaxBackoffDoublings);
  const base::Millis length = std::min(
      m_options.initial_ejection * (1 << doublings), m_options.max_ejection);
  health.state = ExecutorState::kEjected;
  health.ejected_until = now + length;
  health.consecutive_failures = 0;
  health.probe_in_flight = false;
  ++health.consecutive_ejections;
}

// Compares with the median of the other executors' medians, which a few slow
// executors don't shift.
bool HealthTable::IsSlow(const ExecutorHealth& executor) const {
  if (executor.runs < m_options.runs_per_evaluation) {
    return false;
  }
  std::vector<double> medians;
  for (const ExecutorHealth& other : m_executors) {
    if (other.present && &other != &executor &&
        other.runs >= m_options.runs_per_evaluation) {
      medians.push_back(other.median.value());
    }
  }
  if (medians.empty()) {
    return false;
  }
  const auto middle =
      medians.begin() + static_cast<std::ptrdiff_t>(medians.size() / 2);
  std::nth_element(medians.begin(), middle, medians.end());
  return executor.median.value() > m_options.slow_factor * *middle;
}

void HealthTable::OnRan(size_t executor, double run_ms, base::MonoTime now) {
  ExecutorHealth& health = GetOrCreate(executor);
  health.consecutive_failures = 0;
  ++health.runs;
  health.median.Observe(run_ms);
  if (health.state == ExecutorState::kProbing) {
    health.state = ExecutorState::kHealthy;
    health.probe_in_flight = false;
    health.runs = 0;  // Evaluate only later runs.
    health.median = RunTimeQuantile(0.5);
    return;
  }
  if (health.state == ExecutorState::kHealthy) {
    if (health.runs >= m_options.runs_per_evaluation &&
        health.runs % m_options.runs_per_evaluation == 0) {
      if (IsSlow(health) && MayEjectMore()) {
        Eject(health, now);
      } else {
        health.consecutive_ejections = 0;
      }
    }
  }
}

void HealthTable::OnFailed(size_t executor, base::MonoTime now) {
  ExecutorHealth& health = GetOrCreate(executor);
  if (health.state == ExecutorState::kProbing) {
    Eject(health, now);
    return;
  }
  ++health.consecutive_failures;
  if (health.state == ExecutorState::kHealthy &&
      health.consecutive_failures >= m_options.failures_to_eject &&
      MayEjectMore()) {
    Eject(health, now);
  }
}

}  // namespace azurespur::filters
