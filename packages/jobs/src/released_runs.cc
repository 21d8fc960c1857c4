#include "jobs/released_runs.h"

#include <algorithm>

#include "base/event_log.h"

namespace azurespur::jobs {

namespace {

// Bounds the memory; some minutes of releases in a cell that loses workers.
constexpr size_t kMaxReleases = 4096;

}  // namespace

void ReleasedRuns::Add(const TaskRef& task,
                       int32_t run,
                       std::string_view worker_id,
                       RunEvent event,
                       base::MonoTime now) {
  if (std::count(kReleasingEvents.begin(), kReleasingEvents.end(), event) ==
      0) {
    return;
  }
  const Key key{task, run};
  if (m_releases
          .insert_or_assign(key, Release{std::string(worker_id), event, now})
          .second) {
    m_order.push_back(key);
  }
  if (m_order.size() > kMaxReleases) {
    m_releases.erase(m_order.front());
    m_order.pop_front();
  }
}

void ReleasedRuns::OnReported(const TaskRef& task,
                              int32_t run,
                              const WorkerBoot& worker,
                              std::optional<EndCause> end,
                              base::MonoTime now) {
  const auto found = m_releases.find({task, run});
  if (found == m_releases.end() || found->second.worker != worker.id) {
    return;
  }
  m_running[found->second.event] += end ? 0 : 1;
  base::LogEvent(end ? base::Severity::kInfo : base::Severity::kError, "AZ9123",
                 "worker reports a run that was released as over",
                 {{"task", ToString(task)},
                  {"run", std::to_string(run)},
                  {"worker", worker.id},
                  {"born", std::to_string(worker.boot_unix_ms)},
                  {"state", std::string(end ? EndCauseName(*end) : "running")},
                  {"cause", std::string(RunEventName(found->second.event))},
                  {"released_ms_ago", std::to_string(base::MillisBetween(
                                          found->second.at, now))}});
  std::erase(m_order, found->first);
  m_releases.erase(found);
}

int64_t ReleasedRuns::CountRunning(RunEvent event) const {
  const auto found = m_running.find(event);
  return found == m_running.end() ? 0 : found->second;
}

}  // namespace azurespur::jobs
