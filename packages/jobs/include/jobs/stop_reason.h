// Why the leader stops a run.

#ifndef JOBS_STOP_REASON_H_
#define JOBS_STOP_REASON_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace azurespur::jobs {

enum class StopReason {
  kJobOver,         // The job was cancelled or has failed.
  kGangIncomplete,  // Another member of the gang has no run.
  kPreempted,       // The capacity is needed for a gang.
  kStalled,         // The run made no progress.
  kStartUnknown,    // The outcome of its start is unknown.
  kRestarted,       // An open send of its start has reached a new boot.
  kUnknownRun,      // The worker lists a run that the leader doesn't know.
};

inline constexpr std::array kStopReasons = {
    StopReason::kJobOver,      StopReason::kGangIncomplete,
    StopReason::kPreempted,    StopReason::kStalled,
    StopReason::kStartUnknown, StopReason::kRestarted,
    StopReason::kUnknownRun,
};

// The name in log lines and metrics.
std::string_view StopReasonName(StopReason reason);

// Stop orders by reason; repeats of an order are not counted.
class StopCounts {
 public:
  void Add(StopReason reason) { ++m_counts[static_cast<size_t>(reason)]; }
  int64_t Get(StopReason reason) const {
    return m_counts[static_cast<size_t>(reason)];
  }

 private:
  std::array<int64_t, kStopReasons.size()> m_counts{};
};

}  // namespace azurespur::jobs

#endif  // JOBS_STOP_REASON_H_
