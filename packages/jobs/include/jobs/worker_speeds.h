// Estimates how much longer or shorter tasks take on each worker than on a
// worker of median speed. Does no I/O and reads no clock.

#ifndef JOBS_WORKER_SPEEDS_H_
#define JOBS_WORKER_SPEEDS_H_

#include <cstddef>
#include <cstdint>
#include <list>
#include <optional>
#include <string>
#include <string_view>

#include "base/clock.h"
#include "placement/string_hash.h"

namespace azurespur::jobs {

// What is known of one worker's speed. `slowness` is the ratio of a task's time
// there to its time on a worker of median speed.
struct WorkerSpeed {
  double log_slowness = 0;
  double deviation = 0;  // Standard deviation of `log_slowness`.
  int64_t runs = 0;      // That were observed.
};

// Of the workers whose speed is known well.
struct SpeedSpread {
  size_t workers = 0;
  double ratio = 1;  // 90th to 10th percentile of the slowness.
};

// A Kalman filter for each worker over the logarithm of the time ratio. The
// noise of single runs is estimated from all workers together, and each
// innovation is clipped relative to it, so that a task with a long tail shifts
// its worker's estimate little.
class WorkerSpeeds {
 public:
  static constexpr size_t kMaxWorkers = 4096;
  static constexpr size_t kMinKnownWorkers = 20;

  // Speeds differ if enough workers are known and the ratio of their spread
  // exceeds `min_spread_ratio`, and then until it falls to 0.9 times that.
  explicit WorkerSpeeds(double min_spread_ratio)
      : m_min_spread_ratio(min_spread_ratio) {}

  // `log_ratio` is the logarithm of a run's time over the time that was
  // expected on a worker of median speed. `siblings` is the number of runs that
  // the expected time is the median of.
  void Observe(std::string_view worker,
               double log_ratio,
               size_t siblings,
               base::MonoTime now);

  // The worker may run at another speed after a restart: its estimate stays,
  // with more uncertainty.
  void OnRestart(std::string_view worker);

  // Recomputes the spread, and makes the median of the known estimates zero.
  void Refresh(base::MonoTime now);

  // As of the last refresh.
  const SpeedSpread& spread() const { return m_spread; }
  bool Differ() const { return m_differ; }

  // Returns an estimate of zero with the deviation of the prior if the worker
  // is unknown.
  WorkerSpeed Find(std::string_view worker, base::MonoTime now) const;

  // Standard deviation of the logarithm of a single run's time ratio.
  double noise() const;

  size_t size() const { return m_workers.size(); }

 private:
  struct State {
    double mean = 0;
    double variance = 0;
    int64_t runs = 0;
    // Successive large innovations of one sign; negative ones count down.
    int32_t same_sign = 0;
    base::MonoTime observed_at{};
    std::list<std::string>::iterator recency;
  };

  State& Touch(std::string_view worker, base::MonoTime now);
  bool SpreadIsWide() const;

  double m_min_spread_ratio;
  placement::StringMap<State> m_workers;
  std::list<std::string> m_recency;  // The most recently observed first.
  double m_noise_variance = 0.04;
  SpeedSpread m_spread;
  bool m_differ = false;
};

}  // namespace azurespur::jobs

#endif  // JOBS_WORKER_SPEEDS_H_
