// Starts without an answer: while one may still be carried out, its run is sent
// again to the same worker, its task runs nowhere else, and no end of the task
// is acknowledged.
//
// Neither a stop nor a higher fencing token ends such a start at a boot that no
// call has reached: it has seen neither. Only time does, or a report that was
// asked for after the last moment of its arrival.

#include <algorithm>
#include <utility>

#include "base/event_log.h"
#include "jobs/fleet.h"
#include "lease_time.h"
#include "start_resend.h"

namespace azurespur::jobs {

namespace {

// Limits the rate of hold orders to workers with held ends, all together.
constexpr base::Millis kMinTimePerHeldEndHold{4};
constexpr base::Millis kMinHeldEndInterval{30};
// More than one, so that no report tells that all sends have been carried out.
constexpr int32_t kMinAdoptedSends = 2;
// How often the log is told of the same open start. Shorter than it is kept.
constexpr base::Millis kRecordInterval{10000};

// A start that is sent now tells of the boot that the leader knows.
bool IsKnownWell(const Worker& worker) {
  return !worker.undescribed && !worker.announced && worker.responsive &&
         worker.confirmed && worker.clock_known && worker.late_holds == 0 &&
         !worker.has_unknown_run;
}

}  // namespace

void Fleet::MarkOpenStart(const Worker& worker,
                          const TaskRef& task,
                          Run& run,
                          base::MonoTime now,
                          SchedulerOutput& out) {
  run.start_open_until = now + kMaxOrderDelay;
  if (run.has_ticket) {
    return;
  }
  OpenStart& start = m_open_starts[task];
  start.worker = worker.entry.boot.id;
  start.until = run.start_open_until;
  start.at_one_address =
      start.at_one_address && worker.entry.address == worker.confirmed_address;
  if (start.recorded_at == base::MonoTime{} ||
      now >= start.recorded_at + kRecordInterval) {
    start.recorded_at = now;
    AddRecord(out, OpenStartRecord{task, start.worker});
  }
}

void Fleet::CloseStart(const TaskRef& task, Run& run) {
  run.start_open_until = {};
  run.resend = false;
  m_open_starts.erase(task);
}

void Fleet::AdoptOpenStart(const TaskRef& task,
                           std::string_view worker_id,
                           base::MonoTime now) {
  const base::MonoTime until = now + kMaxOrderDelay;
  // The log's record may be old: the next send without answer is told anew.
  OpenStart& start = m_open_starts[task];
  start = {std::string(worker_id), until, {}, /*at_one_address=*/false};
  Worker* worker = WorkerOf(task);
  if (worker != nullptr && worker->entry.boot.id == worker_id) {
    start.at_one_address = !worker->adopted_from_several_boots;
    Run& run = worker->runs.at(task);
    run.start_open_until = until;
    // Nobody knows how often the former leader sent it.
    run.start_sends = kMinAdoptedSends;
  }
}

bool Fleet::IsOver(const OpenStart& start, base::MonoTime now) const {
  if (now <= start.until) {
    return false;
  }
  const auto found = m_workers.find(start.worker);
  if (now > start.until + LeaseBound(m_options.max_lease)) {
    return true;
  }
  if (found == m_workers.end()) {
    return false;
  }
  const Worker& worker = found->second;
  return IsRefusedByOtherBoot(start, worker.other_boot_at) ||
         (worker.confirmed && worker.newest_hold_sent_at > start.until &&
          !worker.has_unknown_run);
}

void Fleet::ForgetOpenStarts(base::MonoTime now) {
  const size_t erased = std::erase_if(
      m_open_starts,
      [this, now](const auto& entry) { return IsOver(entry.second, now); });
  if (erased == 0) {
    return;
  }
  for (auto& [id, worker] : m_workers) {
    std::erase_if(worker.held_ends, [this](const HeldEnd& held) {
      return !HasOpenStart(held.task);
    });
  }
}

int64_t Fleet::AckableEnd(const Worker& worker) {
  return worker.held_ends.empty()
             ? worker.ends_stored
             : std::min(worker.ends_stored,
                        worker.held_ends.front().number - 1);
}

int64_t Fleet::CountWorkersWithHeldEnds() const {
  return std::count_if(
      m_workers.begin(), m_workers.end(),
      [](const auto& entry) { return !entry.second.held_ends.empty(); });
}

base::Millis Fleet::HeldEndInterval() const {
  return std::clamp(kMinTimePerHeldEndHold * CountWorkersWithHeldEnds(),
                    kMinHeldEndInterval, m_options.busy_hold_wait);
}

bool Fleet::AwaitsReport(const Worker& worker) {
  return std::any_of(
      worker.runs.begin(), worker.runs.end(), [&worker](const auto& entry) {
        return AwaitsResend(entry.second) &&
               worker.newest_hold_sent_at <= entry.second.unanswered_at;
      });
}

std::vector<TaskRef> Fleet::DueResends() const {
  std::vector<TaskRef> due;
  for (const auto& [task, start] : m_open_starts) {
    const auto found = m_workers.find(start.worker);
    if (found == m_workers.end() || !IsKnownWell(found->second)) {
      continue;
    }
    const auto run = found->second.runs.find(task);
    if (run != found->second.runs.end() && AwaitsResend(run->second) &&
        found->second.newest_hold_sent_at > run->second.unanswered_at) {
      due.push_back(task);
    }
  }
  return due;
}

const Worker& Fleet::BeginResend(const TaskRef& task, base::MonoTime now) {
  Worker& worker = *WorkerOf(task);
  Run& run = worker.runs.at(task);
  run.phase = NextPhase(run.phase, RunEvent::kStartSent);
  run.resend = false;
  run.start_sent_at = now;
  ++run.start_sends;
  run.start_fence = worker.fence;
  run.start_deadline = base::MonoTime::max();
  worker.fence_used = true;
  worker.last_grant_at = std::max(worker.last_grant_at, now);
  return worker;
}

void Fleet::DropResend(const TaskRef& task) {
  if (Worker* worker = WorkerOf(task)) {
    worker->runs.at(task).resend = false;
  }
}

}  // namespace azurespur::jobs
