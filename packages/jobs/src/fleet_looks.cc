// Looks at workers: when they are due, and what follows from silence.

#include <algorithm>
#include <utility>

#include "base/event_log.h"
#include "jobs/fleet.h"

namespace azurespur::jobs {

namespace {

// Urgent work is short, so it is missed sooner.
constexpr base::Millis kUrgentStalledAfter{1300};

// So many workers that left orders unanswered within so long make a pattern.
constexpr int64_t kDoubtfulWorkers = 2;
constexpr base::Millis kDoubtTime{3000};
constexpr base::Millis kLeastTimePerLook{4};  // Over all workers.

bool HasPhase(const Worker& worker, RunPhase phase) {
  return std::any_of(
      worker.runs.begin(), worker.runs.end(),
      [phase](const auto& entry) { return entry.second.phase == phase; });
}

}  // namespace

void Fleet::OnHoldFailed(const WorkerBoot& boot,
                         OrderOutcome outcome,
                         base::MonoTime now,
                         SchedulerOutput& out) {
  out.fenced = out.fenced || outcome == OrderOutcome::kFenced;
  Worker* worker = FindWorker(boot.id);
  if (worker == nullptr || worker->entry.boot != boot) {
    return;
  }
  worker->holds_in_flight = std::max(0, worker->holds_in_flight - 1);
  worker->next_hold = now + m_options.silent_retry;
  if (outcome == OrderOutcome::kUnknown) {
    NoteUnanswered(boot.id, now);
  }
  if (worker->fresh) {
    worker->fresh = false;
    worker->next_hold = now;  // One lost answer is no reason to wait.
    base::LogEvent(base::Severity::kWarning, "AZ9108", "worker lost",
                   {{"worker", boot.id},
                    {"outcome", std::string(OrderOutcomeName(outcome))},
                    {"runs", std::to_string(worker->runs.size())}});
  }
}

void Fleet::Tick(base::MonoTime now, bool may_renew, SchedulerOutput& out) {
  for (auto& [id, worker] : m_workers) {
    if (!worker.fresh && !worker.runs.empty() && now > worker.lease_over) {
      ReleaseAll(worker, out);
    }
    StopStalled(worker, now);
    SendStops(worker, now, out);
    Look(worker, now, may_renew, out);
  }
}

void Fleet::Look(Worker& worker,
                 base::MonoTime now,
                 bool may_renew,
                 SchedulerOutput& out) {
  const bool settled = HasPhase(worker, RunPhase::kSettled);
  const int32_t allowed = settled ? 2 : 1;
  if (worker.holds_in_flight >= allowed || now < worker.next_hold ||
      worker.entry.address.empty()) {
    return;
  }
  HoldOrder order;
  order.worker = worker.entry.boot;
  order.address = worker.entry.address;
  order.fence = m_options.fence;
  order.ended_seen = worker.ends_stored;
  order.sent_at = now;
  if (worker.fresh && worker.clock_known) {
    if (may_renew) {
      order.lease_until_ms = LeaseUntil(worker, now);
    }
    const bool unstored = worker.ends_read > worker.ends_stored;
    if (!settled && !unstored) {
      order.wait =
          worker.runs.empty() ? m_options.idle_hold_wait : BusyHoldWait(now);
    }
  }
  ++worker.holds_in_flight;
  worker.next_hold = now + m_options.silent_retry;
  out.holds.push_back(std::move(order));
}

void Fleet::NoteUnanswered(std::string_view worker_id, base::MonoTime now) {
  m_unanswered[std::string(worker_id)] = now;
  std::erase_if(m_unanswered, [now](const auto& entry) {
    return entry.second + kDoubtTime < now;
  });
}

// Answers also stay away where this VM is too slow for them: more looks than it
// can handle would keep it so.
base::Millis Fleet::BusyHoldWait(base::MonoTime now) const {
  if (!Doubtful(now)) {
    return m_options.busy_hold_wait;
  }
  const base::Millis least =
      kLeastTimePerLook * static_cast<int64_t>(m_workers.size());
  return std::clamp(least, m_options.doubtful_hold_wait,
                    m_options.busy_hold_wait);
}

bool Fleet::Doubtful(base::MonoTime now) const {
  return std::count_if(m_unanswered.begin(), m_unanswered.end(),
                       [now](const auto& entry) {
                         return now <= entry.second + kDoubtTime;
                       }) >= kDoubtfulWorkers;
}

void Fleet::SendStops(Worker& worker,
                      base::MonoTime now,
                      SchedulerOutput& out) {
  for (auto& [task, run] : worker.runs) {
    const bool wanted = run.phase == RunPhase::kSettling ||
                        (run.stop_wanted && run.phase == RunPhase::kRunning);
    if (!wanted || now < run.stop_sent_at + m_options.stop_retry) {
      continue;
    }
    run.stop_sent_at = now;
    out.stops.push_back({worker.entry.boot, worker.entry.address, task, run.run,
                         m_options.fence});
  }
}

void Fleet::StopStalled(Worker& worker, base::MonoTime now) {
  if (!worker.fresh) {
    return;
  }
  for (auto& [task, run] : worker.runs) {
    const base::Millis limit =
        run.urgent ? kUrgentStalledAfter : m_options.stalled_after;
    const bool stalled = run.phase == RunPhase::kRunning && !run.stop_wanted &&
                         worker.newest_look > run.progress_at + limit;
    if (!stalled) {
      continue;
    }
    run.stop_wanted = true;
    worker.avoid_until = now + m_options.avoid_worker;
    base::LogEvent(base::Severity::kWarning, "AZ9109",
                   "run makes no progress; it is stopped",
                   {{"task", ToString(task)},
                    {"run", std::to_string(run.run)},
                    {"worker", worker.entry.boot.id},
                    {"percent", std::to_string(run.percent)}});
  }
}

}  // namespace azurespur::jobs
