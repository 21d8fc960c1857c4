// Outlier detection: ejects slow and failing executors, up to a limited share
// of all, and readmits each after a successful probe request.

#ifndef FILTERS_EXECUTOR_HEALTH_H_
#define FILTERS_EXECUTOR_HEALTH_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "base/clock.h"
#include "run_times.h"

namespace azurespur::filters {

struct HealthOptions {
  int failures_to_eject = 5;  // In a row.
  double slow_factor = 4;     // Ejects above this multiple of the median.
  uint64_t runs_per_evaluation = 30;  // Counted from the last readmission.
  double max_ejected_share = 0.3;     // Of the present executors.
  base::Millis initial_ejection{1000};
  base::Millis max_ejection{30000};
};

enum class ExecutorState {
  kHealthy,
  kEjected,
  kProbing,  // Gets one request at a time until one succeeds.
};

struct ExecutorHealth {
  bool present = false;  // On the VM list and not leaving.
  ExecutorState state = ExecutorState::kHealthy;
  int consecutive_failures = 0;
  uint64_t runs = 0;
  RunTimeQuantile median{0.5};
  base::MonoTime ejected_until{};
  int consecutive_ejections = 0;  // Reset if an evaluation passes.
  bool probe_in_flight = false;
};

class HealthTable {
 public:
  explicit HealthTable(const HealthOptions& options) : m_options(options) {}

  // `executor` is the index used by SlotShare.
  void SetPresent(size_t executor, bool present);
  bool MayUse(size_t executor, base::MonoTime now);
  void OnAttemptStarted(size_t executor);
  void OnRan(size_t executor, double run_ms, base::MonoTime now);
  void OnFailed(size_t executor, base::MonoTime now);
  // The attempt ended in a way that doesn't reflect the executor's health.
  void OnInconclusive(size_t executor);

  const std::vector<ExecutorHealth>& executors() const { return m_executors; }

 private:
  ExecutorHealth& GetOrCreate(size_t executor);
  void Eject(ExecutorHealth& executor, base::MonoTime now);
  bool IsSlow(const ExecutorHealth& executor) const;
  bool MayEjectMore() const;

  const HealthOptions m_options;
  std::vector<ExecutorHealth> m_executors;
};

}  // namespace azurespur::filters

#endif  // FILTERS_EXECUTOR_HEALTH_H_
