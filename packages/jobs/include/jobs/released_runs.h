// Runs that were released without an end report, kept for a while to tell which
// of them were not over. Reads no clock.

#ifndef JOBS_RELEASED_RUNS_H_
#define JOBS_RELEASED_RUNS_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "base/clock.h"
#include "jobs/run_phase.h"
#include "jobs/task_ref.h"
#include "jobs/worker_report.h"

namespace azurespur::jobs {

// The events that may release a run whose start was sent.
inline constexpr std::array kReleasingEvents = {
    RunEvent::kStartRefused, RunEvent::kMissing, RunEvent::kOtherBoot,
    RunEvent::kLapsed};

class ReleasedRuns {
 public:
  void Add(const TaskRef& task,
           int32_t run,
           std::string_view worker_id,
           RunEvent event,
           base::MonoTime now);

  // The worker reports the run as running, or its end. Counts and logs it once
  // if the run was released.
  void OnReported(const TaskRef& task,
                  int32_t run,
                  const WorkerBoot& worker,
                  std::optional<EndCause> end,
                  base::MonoTime now);

  // Released runs that a worker reported later as running, by the event that
  // released them. Each was released too early.
  int64_t CountRunning(RunEvent event) const;

 private:
  struct Key {
    TaskRef task;
    int32_t run = 0;
    // NOLINTNEXTLINE(modernize-use-nullptr): the check misreads `<=>`.
    friend auto operator<=>(const Key&, const Key&) = default;
  };
  struct Release {
    std::string worker;
    RunEvent event = RunEvent::kMissing;
    base::MonoTime at{};
  };

  std::map<Key, Release> m_releases;
  std::deque<Key> m_order;  // The oldest release first.
  std::map<RunEvent, int64_t> m_running;
};

}  // namespace azurespur::jobs

#endif  // JOBS_RELEASED_RUNS_H_
