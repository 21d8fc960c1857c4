#include "crest_load.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <functional>

namespace azurespur::jobs {

namespace {

struct KindOfJob {
  const char* queue;
  double share;
  int32_t priority;
  double steps;
  double max_steps;
  double width;
  double max_width;
  double cpu_millis;
  double max_cpu_millis;
  double memory_mb;
  double max_memory_mb;
  double work_ms;
  double max_work_ms;
  double gang_share;
  double checkpointing_share;
  double stretch;
  int64_t target_ms;
  double advice_base_ms;
  double advice_per_worker_ms;
  double eligible_share;
};

constexpr std::array<KindOfJob, 3> kKinds = {{
    {"gangs", 5.37, 1,     1.2, 3,   20,  120,  4500, 7600, 17000,
     33000,   3400, 36000, 1,   0.5, 2.2, 1000, 455,  6.5,  0.25},
    {"batch", 8.96, 2,     1.5, 3.8, 25, 150,  1700, 5200, 5000,
     15000,   2300, 24000, 0,   0.8, 4,  3000, 130,  1.82, 0.45},
    {"urgent", 100, 0,    1,   2.5, 3.2, 19,  2500, 7400,  9100,
     27000,    680, 7200, 0.3, 0,   1.5, 250, 11.7, 0.169, 0.7},
}};
constexpr double kTotalShare = 5.37 + 8.96 + 100;
constexpr double kSizeSpread = 0.5;
constexpr double kWidthSpread = 0.8;
constexpr double kStepsSpread = 0.4;
constexpr int64_t kAdviceValidMs = 2500;
constexpr size_t kPayloadBytes = 250;
constexpr int32_t kMaxAttempts = 4;
constexpr uint64_t kHashRange = 1000;

const KindOfJob& FindKind(const std::string& queue) {
  return *std::find_if(
      kKinds.begin(), kKinds.end(),
      [&queue](const KindOfJob& kind) { return queue == kind.queue; });
}

}  // namespace

CellPolicy CrestLoad::Policy() {
  CellPolicy policy;
  policy.version = 1;
  for (const KindOfJob& kind : kKinds) {
    QueuePolicy queue;
    queue.name = kind.queue;
    queue.service = "s";
    queue.priority = kind.priority;
    queue.max_attempts = kMaxAttempts;
    queue.stretch = kind.stretch;
    queue.target_ms = kind.target_ms;
    queue.advice = AdvicePolicy{kind.advice_base_ms, kind.advice_per_worker_ms,
                                kAdviceValidMs};
    policy.queues[queue.name] = queue;
  }
  return policy;
}

// Log-normal with the given mean.
double CrestLoad::Spread(double mean, double spread, double max) {
  std::lognormal_distribution<double> factor(-spread * spread / 2, spread);
  return std::min(max, mean * factor(m_random));
}

JobSpec CrestLoad::NextJob(JobId id, int64_t unix_ms) {
  std::uniform_real_distribution<double> share(0, 1);
  double pick = share(m_random) * kTotalShare;
  size_t chosen = 0;
  while (chosen + 1 < kKinds.size() && pick >= kKinds[chosen].share) {
    pick -= kKinds[chosen].share;
    ++chosen;
  }
  const KindOfJob& kind = kKinds[chosen];
  JobSpec spec;
  spec.id = id;
  spec.queue = kind.queue;
  spec.payload = std::string(kPayloadBytes, 'x');
  spec.submitted_unix_ms = unix_ms;
  const bool gang = share(m_random) < kind.gang_share;
  const bool checkpointing = share(m_random) < kind.checkpointing_share;
  const auto steps = static_cast<int32_t>(std::max(
      1.0, std::round(Spread(kind.steps, kStepsSpread, kind.max_steps))));
  for (int32_t s = 0; s < steps; ++s) {
    StepSpec step;
    step.count = static_cast<int32_t>(std::max(
        1.0, std::round(Spread(kind.width, kWidthSpread, kind.max_width))));
    step.demand.cpu_millis = static_cast<int64_t>(
        Spread(kind.cpu_millis, kSizeSpread, kind.max_cpu_millis));
    step.demand.memory_mb = static_cast<int64_t>(
        Spread(kind.memory_mb, kSizeSpread, kind.max_memory_mb));
    step.estimate_ms = static_cast<int64_t>(
        Spread(kind.work_ms, kSizeSpread, kind.max_work_ms));
    step.gang = gang;
    step.checkpointing = checkpointing;
    if (s > 0) {
      step.after = {s - 1};
    }
    spec.steps.push_back(step);
  }
  return spec;
}

int64_t CrestLoad::NextDurationMs(const StepSpec& step) {
  constexpr double kEstimateSpread = 0.2;
  constexpr double kMaxFactor = 7;
  const auto estimate = static_cast<double>(step.estimate_ms);
  return static_cast<int64_t>(
      Spread(estimate, kEstimateSpread, estimate * kMaxFactor));
}

bool CrestLoad::IsEligible(const std::string& queue,
                           const StepRef& step,
                           const std::string& worker) {
  const uint64_t hash = std::hash<std::string>{}(worker + ToString(step));
  return static_cast<double>(hash % kHashRange) <
         FindKind(queue).eligible_share * kHashRange;
}

}  // namespace azurespur::jobs
