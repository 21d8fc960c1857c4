#include "jobs/fleet.h"

#include <algorithm>
#include <cmath>
#include <utility>
#include <vector>

#include "base/event_log.h"
#include "lease_time.h"
#include "start_resend.h"

namespace azurespur::jobs {

namespace {

constexpr base::Millis kFullWorkerBackoff{500};

// Returns how long after an unanswered start its run may still begin: until the
// start is too old to arrive and its lease has certainly expired.
base::Millis MaxStartDelay(const SchedulerOptions& options) {
  return std::max(LeaseBound(options.lease), kMaxOrderDelay);
}

int64_t ClockNow(const Worker& worker, base::MonoTime now) {
  return worker.clock_ms + base::MillisBetween(worker.clock_at, now);
}

void UpdateLeaseExpiry(Worker& worker) {
  const int64_t left = worker.max_lease_until_ms - worker.clock_ms;
  worker.lease_expires_at =
      std::max(worker.lease_expires_at,
               worker.clock_at + ToLocalTime(left) + kLeaseMargin);
}

// Milliseconds since `then`, empty if that never was.
std::string AgeOf(base::MonoTime then, base::MonoTime now) {
  return then == base::MonoTime{}
             ? std::string()
             : std::to_string(base::MillisBetween(then, now));
}

void LogRelease(const Worker& worker,
                const TaskRef& task,
                const Run& run,
                RunEvent event,
                base::MonoTime now) {
  base::LogEvent(
      base::Severity::kInfo, "AZ9105", "run released without an end report",
      {{"task", ToString(task)},
       {"run", std::to_string(run.run)},
       {"worker", worker.entry.boot.id},
       {"phase", std::to_string(static_cast<int>(run.phase))},
       {"cause", std::string(RunEventName(event))},
       {"born", std::to_string(worker.entry.boot.boot_unix_ms)},
       {"restart_seen_ms_ago", AgeOf(worker.restart_seen_at, now)},
       {"report_asked_ms_ago", AgeOf(worker.newest_hold_sent_at, now)},
       {"start_sends", std::to_string(run.start_sends)},
       {"start_open_ms",
        run.start_open_until > now
            ? std::to_string(base::MillisBetween(now, run.start_open_until))
            : std::string()},
       {"lease_over_ms_ago", AgeOf(worker.lease_expires_at, now)}});
}

// What an answer to the newest of `send_count` sends of a start tells. Only an
// acceptance tells something of the earlier ones.
RunEvent EventOf(OrderOutcome outcome, int32_t send_count) {
  switch (outcome) {
    case OrderOutcome::kAccepted:
      return RunEvent::kStartAccepted;
    case OrderOutcome::kUnknown:
    case OrderOutcome::kStaleRun:
      return RunEvent::kStartInDoubt;
    default:
      return send_count > 1 ? RunEvent::kStartInDoubt : RunEvent::kStartRefused;
  }
}

void AvoidAfterRefusal(Worker& worker,
                       OrderOutcome outcome,
                       base::MonoTime now) {
  switch (outcome) {
    case OrderOutcome::kNoRoom:
    case OrderOutcome::kRefused:
    case OrderOutcome::kLeaseExpired:
      worker.avoid_until = now + kFullWorkerBackoff;
      return;
    case OrderOutcome::kOtherBoot:
      worker.responsive = false;
      return;
    default:
      return;
  }
}

}  // namespace

Worker* Fleet::FindWorker(std::string_view id) {
  const auto found = m_workers.find(id);
  return found == m_workers.end() ? nullptr : &found->second;
}

Worker& Fleet::GetWorker(const std::string& id) {
  const auto [found, added] = m_workers.try_emplace(id);
  if (added) {
    // A worker that was forgotten and comes back may know any earlier one.
    found->second.fence = m_newest_fence;
  }
  return found->second;
}

Worker* Fleet::WorkerOf(const TaskRef& task) {
  const auto found = m_index.find(task);
  return found == m_index.end() ? nullptr : FindWorker(found->second);
}

Run* Fleet::FindRun(Worker& worker, const TaskRef& task, int32_t run) {
  const auto found = worker.runs.find(task);
  const bool same = found != worker.runs.end() && found->second.run == run;
  return same ? &found->second : nullptr;
}

const Run* Fleet::FindRun(const TaskRef& task) const {
  const auto found = m_index.find(task);
  if (found == m_index.end()) {
    return nullptr;
  }
  return &m_workers.find(found->second)->second.runs.at(task);
}

bool Fleet::MayRepeatStart(const StartOrder& order) const {
  const auto found = m_index.find(order.task);
  if (found == m_index.end()) {
    return false;
  }
  const Worker& worker = m_workers.find(found->second)->second;
  const Run& run = worker.runs.at(order.task);
  const int32_t allowed = run.gang ? m_options.max_gang_start_sends
                          : worker.responsive
                              ? m_options.max_start_sends
                              : m_options.max_silent_start_sends;
  const bool asks_first = order.send_count == 1 && worker.responsive &&
                          !run.gang && !run.has_ticket;
  return !asks_first && order.send_count < allowed && run.run == order.run &&
         run.phase == RunPhase::kStarting && !run.stop_requested &&
         worker.listed && !worker.entry.draining && worker.fence == order.fence;
}

int64_t Fleet::CountOutstanding() const {
  int64_t count = 0;
  for (const auto& [id, worker] : m_workers) {
    for (const auto& [task, run] : worker.runs) {
      const bool resent = AwaitsResend(run) && worker.responsive;
      const bool outstanding = run.phase == RunPhase::kBinding ||
                               run.phase == RunPhase::kStarting || resent;
      count += outstanding ? 1 : 0;
    }
  }
  return count;
}

void Fleet::Adopt(const TaskRef& task,
                  int32_t run_number,
                  const WorkerBoot& boot,
                  const placement::Resources& demand,
                  bool gang,
                  base::MonoTime now,
                  AccountIndex account,
                  bool has_ticket) {
  Worker& worker = GetWorker(boot.id);
  if (worker.entry.boot.id.empty()) {
    worker.entry.boot = boot;
    worker.listed = false;
  }
  worker.adopted_from_several_boots |= worker.entry.boot != boot;
  Run run;
  run.run = run_number;
  run.phase = RunPhase::kAdopted;
  run.demand = demand;
  run.account = account;
  run.gang = gang;
  run.progress_at = now;
  run.has_ticket = has_ticket;
  // Until then the former leader may have renewed the lease. A boot that had
  // just begun counts it as the longest one, and runs nothing that was started
  // with a ticket of the boot before it.
  worker.last_grant_at = now + m_options.max_renew_after_append;
  worker.lease_expires_at = worker.last_grant_at + LeaseBound(m_options.lease);
  if (!has_ticket) {
    run.former_lease_until =
        worker.last_grant_at + LeaseBound(m_options.max_lease);
  }
  worker.used = placement::Add(worker.used, demand);
  m_usage.Add(account, demand);
  worker.runs.emplace(task, std::move(run));
  m_index[task] = boot.id;
}

void Fleet::Bind(const TaskRef& task,
                 const Run& run,
                 std::string_view worker_id,
                 base::MonoTime now) {
  Worker* worker = FindWorker(worker_id);
  if (worker->failures_in_row >= m_options.max_failures_in_row) {
    worker->avoid_until = now + m_options.worker_backoff;
  }
  worker->used = placement::Add(worker->used, run.demand);
  m_usage.Add(run.account, run.demand);
  worker->runs[task] = run;
  m_index[task] = std::string(worker_id);
}

const Worker* Fleet::BeginStart(const TaskRef& task,
                                int32_t run_number,
                                bool has_ticket,
                                base::MonoTime now) {
  Worker* worker = WorkerOf(task);
  Run* run = worker != nullptr ? FindRun(*worker, task, run_number) : nullptr;
  if (run == nullptr || run->phase != RunPhase::kBinding ||
      run->stop_requested || !worker->listed || worker->undescribed ||
      !worker->responsive || worker->has_unknown_run ||
      worker->entry.draining) {
    return nullptr;
  }
  run->phase = NextPhase(run->phase, RunEvent::kStartSent);
  run->start_sent_at = now;
  run->start_fence = worker->fence;
  run->start_sends = 1;
  run->has_ticket = has_ticket;
  worker->fence_used = true;
  worker->last_grant_at = std::max(worker->last_grant_at, now);
  return worker;
}

void Fleet::ReleaseUnsent(const TaskRef& task,
                          base::MonoTime now,
                          SchedulerOutput& out) {
  if (Worker* worker = WorkerOf(task)) {
    Advance(*worker, task, RunEvent::kStartNotSent, now, out);
  }
}

int64_t Fleet::ExtendLease(const Worker& worker, base::MonoTime now) {
  Worker& own = *FindWorker(worker.entry.boot.id);
  own.fence_used = true;
  own.last_grant_at = std::max(own.last_grant_at, now);
  const int64_t until = ClockNow(own, now) + m_options.lease.count();
  own.max_lease_until_ms = std::max(own.max_lease_until_ms, until);
  UpdateLeaseExpiry(own);
  return own.max_lease_until_ms;
}

void Fleet::OnStartRepeated(const TaskRef& task,
                            base::MonoTime now,
                            SchedulerOutput& out) {
  if (Worker* worker = WorkerOf(task)) {
    Run& run = worker->runs.at(task);
    ++run.start_sends;
    MarkOpenStart(*worker, task, run, now, out);
    worker->last_grant_at = std::max(worker->last_grant_at, now);
  }
}

void Fleet::RequestStop(const TaskRef& task, StopReason reason) {
  if (Worker* worker = WorkerOf(task)) {
    Run& run = worker->runs.at(task);
    run.stop_requested = true;
    run.resend = false;
    run.stop_reason = run.stop_reason.value_or(reason);
  }
}

void Fleet::OnStarted(const StartOrder& order,
                      const StartAnswer& answer,
                      base::MonoTime now,
                      SchedulerOutput& out) {
  const OrderOutcome outcome = answer.outcome;
  Worker* worker = FindWorker(order.worker.id);
  if (worker == nullptr) {
    return;
  }
  ObserveOutcome(*worker,
                 {order.worker, order.address, order.fence, order.sent_at},
                 outcome, now, out);
  ObserveClock(*worker, order, answer, now);
  Run* run = FindRun(*worker, order.task, order.run);
  if (run == nullptr || run->phase != RunPhase::kStarting) {
    return;
  }
  if (outcome == OrderOutcome::kUnknown) {
    RecordUnanswered(worker->entry.boot.id, now);
    MarkOpenStart(*worker, order.task, *run, now, out);
    run->resend = MayResend(*run) && HasSendsLeft(*run, m_options);
    if (run->resend) {
      run->unanswered_at = now;
      worker->next_hold = now;
    }
    worker->last_grant_at = std::max(worker->last_grant_at, now);
  }
  run->start_deadline = now + MaxStartDelay(m_options);
  const RunEvent event = EventOf(outcome, run->start_sends);
  if (event == RunEvent::kStartAccepted) {
    run->started_at = now;
    run->confirmed_at = now;
    run->progress_at = now;
  } else if (run->start_sends > 1) {
    worker->avoid_until = now + m_options.worker_backoff;
  } else if (event == RunEvent::kStartRefused) {
    AvoidAfterRefusal(*worker, outcome, now);
  }
  Advance(*worker, order.task, event, now, out);
}

void Fleet::ObserveOutcome(Worker& worker,
                           const OrderTarget& target,
                           OrderOutcome outcome,
                           base::MonoTime now,
                           SchedulerOutput& out) {
  // Calls that this leader has itself fenced, by a later one, don't count.
  const bool fenced_by_other =
      outcome == OrderOutcome::kFenced && target.fence >= worker.fence;
  out.fenced = out.fenced || fenced_by_other;
  if (outcome == OrderOutcome::kOtherBoot) {
    OnOtherBoot(worker, target, now, out);
  }
}

void Fleet::OnStopped(const StopOrder& order,
                      OrderOutcome outcome,
                      base::MonoTime now,
                      SchedulerOutput& out) {
  Worker* worker = FindWorker(order.worker.id);
  if (worker == nullptr) {
    return;
  }
  ObserveOutcome(*worker,
                 {order.worker, order.address, order.fence, order.sent_at},
                 outcome, now, out);
  // A stop that a former boot answered doesn't prevent the start on this one.
  if (outcome != OrderOutcome::kAccepted ||
      worker->entry.boot != order.worker) {
    return;
  }
  Run* run = FindRun(*worker, order.task, order.run);
  if (run != nullptr && run->phase == RunPhase::kStartUnknown) {
    run->confirmed_at = now;
    worker->next_hold = now;
    Advance(*worker, order.task, RunEvent::kStopAnswered, now, out);
  }
}

void Fleet::SetSpeeds(const WorkerSpeeds& speeds, base::MonoTime now) {
  for (auto& [id, worker] : m_workers) {
    const WorkerSpeed estimate = speeds.Find(id, now);
    worker.estimate = estimate;
    worker.speed = {};
    if (speeds.Differ()) {
      worker.speed.slowness_bound =
          std::exp(estimate.log_slowness + estimate.deviation);
      worker.speed.speed_class =
          static_cast<int32_t>(std::lround(estimate.log_slowness * 10));
    }
  }
}

void Fleet::RemoveRun(Worker& worker, const TaskRef& task) {
  const auto found = worker.runs.find(task);
  const Run& run = found->second;
  if (run.start_open_until > base::MonoTime{}) {
    worker.open_sends.push_back(
        {task, run.run, run.demand, run.account, run.start_open_until});
  }
  worker.used = placement::Subtract(worker.used, run.demand);
  m_usage.Remove(run.account, run.demand);
  worker.runs.erase(found);
  m_index.erase(task);
}

void Fleet::Release(Worker& worker,
                    const TaskRef& task,
                    RunEvent event,
                    base::MonoTime now,
                    SchedulerOutput& out) {
  const Run& run = worker.runs.at(task);
  LogRelease(worker, task, run, event, now);
  m_released_runs.Add(task, run.run, worker.entry.boot.id, event, now);
  AddRecord(out, EndRecord{task, run.run, EndKind::kReleased, run.checkpoint});
  RemoveRun(worker, task);
}

void Fleet::Advance(Worker& worker,
                    const TaskRef& task,
                    RunEvent event,
                    base::MonoTime now,
                    SchedulerOutput& out) {
  Run& run = worker.runs.at(task);
  const RunPhase next = NextPhase(run.phase, event);
  if (next == RunPhase::kOver) {
    Release(worker, task, event, now, out);
  } else {
    run.phase = next;
  }
}

void Fleet::AdvanceAll(Worker& worker,
                       std::span<const TaskRef> tasks,
                       RunEvent event,
                       base::MonoTime now,
                       SchedulerOutput& out) {
  for (const TaskRef& task : tasks) {
    Advance(worker, task, event, now, out);
  }
}

}  // namespace azurespur::jobs
