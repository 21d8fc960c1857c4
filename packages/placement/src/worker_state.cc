#include "placement/worker_state.h"

#include <algorithm>
#include <cmath>

namespace azurespur::placement {
namespace {

constexpr double kMarginPerSecond = 0.02;
constexpr double kMaxMargin = 0.5;
constexpr double kMillisPerSecond = 1000.0;

int64_t AddMargin(int64_t reported, double margin, int64_t capacity) {
  const auto raised = static_cast<int64_t>(
      std::ceil(static_cast<double>(reported) * (1 + margin)));
  // The margin is only an estimate and must not make a full worker appear
  // overloaded.
  return std::min(raised, std::max(reported, capacity));
}

}  // namespace

double ReportMargin(int64_t report_age_ms) {
  const double seconds =
      static_cast<double>(std::max<int64_t>(report_age_ms, 0)) /
      kMillisPerSecond;
  return std::min(kMarginPerSecond * seconds, kMaxMargin);
}

Resources UsedResources(const WorkerUsage& usage, const Resources& capacity) {
  const double margin = ReportMargin(usage.report_age_ms);
  // Accelerators need no margin: tasks claim them at the start, and their use
  // does not grow.
  const Resources raised = {
      AddMargin(usage.reported.cpu_millis, margin, capacity.cpu_millis),
      AddMargin(usage.reported.memory_mb, margin, capacity.memory_mb),
      usage.reported.accelerators};
  return Max(usage.bound, Add(raised, usage.unreported));
}

}  // namespace azurespur::placement
