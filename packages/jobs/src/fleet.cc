#include "jobs/fleet.h"

#include <algorithm>
#include <cmath>
#include <set>
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

EndKind EndKindOf(EndCause cause) {
  switch (cause) {
    case EndCause::kDone:
      return EndKind::kDone;
    case EndCause::kFailed:
      return EndKind::kFailed;
    default:
      return EndKind::kReleased;
  }
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

// True if the answer to the hold order would list the run. A worker that has
// seen the order's fencing token carries out no start with a lower one.
bool IsInReportsOf(const Run& run, const HoldOrder& order) {
  switch (run.phase) {
    case RunPhase::kAdopted:
      return true;
    case RunPhase::kStartUnknown:
      return run.start_fence < order.fence ||
             run.start_deadline < order.sent_at;
    default:
      return run.confirmed_at < order.sent_at;
  }
}

bool HasSendsLeft(const Run& run, const SchedulerOptions& options) {
  return run.start_sends < options.max_start_sends;
}

// The worker doesn't have the run, but a send of the start may still begin it.
void ObserveMissing(Run& run, const SchedulerOptions& options) {
  run.phase = NextPhase(run.phase, RunEvent::kMissingSendOpen);
  run.resend = run.resend || (run.phase == RunPhase::kStartUnknown &&
                              run.stop_sent_at == base::MonoTime{} &&
                              MayResend(run) && HasSendsLeft(run, options));
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

bool AcceptsTasks(const Worker& worker, base::MonoTime now) {
  return worker.listed && !worker.undescribed && !worker.announced &&
         worker.responsive && !worker.has_unknown_run &&
         worker.late_holds == 0 && worker.clock_known &&
         !worker.entry.draining && worker.avoid_until <= now;
}

placement::Resources FreeCapacity(const Worker& worker) {
  return placement::Subtract(worker.entry.capacity, worker.used);
}

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

void Fleet::OnReport(const HoldOrder& order,
                     const WorkerReport& report,
                     base::MonoTime now,
                     SchedulerOutput& out) {
  const base::MonoTime asked_at = order.sent_at;
  Worker* worker = FindWorker(order.worker.id);
  if (worker == nullptr || worker->entry.boot != order.worker) {
    return;
  }
  if (order.fence == worker->fence) {
    worker->holds_in_flight = std::max(0, worker->holds_in_flight - 1);
  }
  ObserveBoot(*worker, report.boot_unix_ms, asked_at, now, out);
  ConfirmAddress(*worker, order.address);
  if (order.fence == worker->fence) {
    worker->responsive = true;
    worker->late_holds = 0;
    ConfirmBoot(*worker, now);
  }
  if (!worker->clock_known || report.clock_ms >= worker->clock_ms) {
    worker->clock_known = true;
    worker->clock_ms = report.clock_ms;
    worker->clock_at = now;
  }
  if (worker->entry.boot == order.worker) {
    worker->ends_forgotten =
        std::max(worker->ends_forgotten, order.acked_end_number);
  }
  for (const EndedTask& end : report.ended) {
    if (end.number > worker->ends_read) {
      HandleEnd(*worker, end, now, out);
      worker->ends_read = end.number;
    }
  }
  if (asked_at >= worker->newest_hold_sent_at) {
    worker->newest_hold_sent_at = asked_at;
    HandleRunning(*worker, report, order, now, out);
    UpdateOpenSends(*worker, report);
  }
  const bool stored = worker->ends_stored >= worker->ends_read;
  const bool ask_now = stored || !worker->responsive;
  worker->next_hold = ask_now ? now : now + m_options.end_retry_interval;
  if (!worker->held_ends.empty() && worker->responsive) {
    worker->next_hold = now + HeldEndInterval();
  }
}

void Fleet::HandleEnd(Worker& worker,
                      const EndedTask& end,
                      base::MonoTime now,
                      SchedulerOutput& out) {
  if (Run* run = FindRun(worker, end.task, end.run)) {
    if (run->start_sends == 1) {
      CloseStart(end.task, *run);
    }
    UpdateFailureCount(worker, end.cause, now);
    if (end.cause == EndCause::kDone) {
      RecordRunTime(worker, end.task, *run, now);
    }
    if (run->gang) {
      RecordGangProgress(end.task.StepOf(), now);
    }
    RemoveRun(worker, end.task);
  } else {
    m_released_runs.OnReported(end.task, end.run, worker.entry.boot, end.cause,
                               now);
  }
  const bool counts =
      end.cause == EndCause::kDone || end.cause == EndCause::kFailed;
  if (counts && HasOpenStart(end.task)) {
    worker.held_ends.push_back({end.number, end.task});
    base::LogEvent(
        base::Severity::kInfo, "AZ9124",
        "an end is not acknowledged while a start of its task may arrive",
        {{"task", ToString(end.task)},
         {"run", std::to_string(end.run)},
         {"worker", worker.entry.boot.id},
         {"end", std::to_string(end.number)},
         {"open_ms", std::to_string(base::MillisBetween(
                         now, m_open_starts.at(end.task).until))}});
  }
  base::LogEvent(base::Severity::kInfo, "AZ9104", "task ended",
                 {{"task", ToString(end.task)},
                  {"run", std::to_string(end.run)},
                  {"worker", worker.entry.boot.id},
                  {"cause", std::string(EndCauseName(end.cause))}});
  AddRecord(out,
            EndRecord{end.task, end.run, EndKindOf(end.cause), end.checkpoint},
            worker.entry.boot, end.number);
}

// An end is final whoever stores it, as the numbers of runs only rise.
void Fleet::OnForwardedEnd(const EndRecord& end,
                           std::string_view worker_id,
                           base::MonoTime now,
                           SchedulerOutput& out) {
  Worker* worker = WorkerOf(end.task);
  if (worker == nullptr || worker->entry.boot.id != worker_id) {
    return;
  }
  const Run* run = FindRun(*worker, end.task, end.run);
  if (run == nullptr) {
    return;
  }
  if (run->gang) {
    RecordGangProgress(end.task.StepOf(), now);
  }
  RemoveRun(*worker, end.task);
  base::LogEvent(base::Severity::kInfo, "AZ9122",
                 "a former leader told of the end of a run",
                 {{"task", ToString(end.task)},
                  {"run", std::to_string(end.run)},
                  {"worker", std::string(worker_id)}});
  AddRecord(out, end);
}

void Fleet::HandleRunning(Worker& worker,
                          const WorkerReport& report,
                          const HoldOrder& order,
                          base::MonoTime now,
                          SchedulerOutput& out) {
  std::set<TaskRef> seen;
  worker.has_unknown_run = false;
  for (const RunningTask& running : report.running) {
    Run* run = FindRun(worker, running.task, running.run);
    if (run == nullptr) {
      StopUnknownRun(worker, running, now, out);
      continue;
    }
    seen.insert(running.task);
    const bool only_send = run->start_sends == 1;
    const bool started =
        run->phase == RunPhase::kStarting || (AwaitsResend(*run) && only_send);
    if (started) {
      run->started_at = now;
    }
    if (started || run->phase == RunPhase::kAdopted) {
      run->confirmed_at = now;
      run->progress_at = now;
    }
    if (started && only_send) {
      CloseStart(running.task, *run);
    }
    Advance(worker, running.task,
            started ? RunEvent::kStartAccepted : RunEvent::kListed, now, out);
    if (running.percent != run->percent) {
      run->percent = running.percent;
      run->progress_at = now;
    }
    if (!running.checkpoint.empty()) {
      run->checkpoint = running.checkpoint;
    }
  }
  worker.more_ends = report.more_ends;
  if (report.more_ends) {
    return;  // A run that isn't listed may have ended as done.
  }
  std::vector<TaskRef> missing;
  for (auto& [task, run] : worker.runs) {
    if (seen.count(task) > 0 || !IsInReportsOf(run, order)) {
      continue;
    }
    const auto open = m_open_starts.find(task);
    const bool may_conclude = !WaitsForOpenStart(run) ||
                              open == m_open_starts.end() ||
                              order.sent_at > open->second.until;
    if (may_conclude) {
      missing.push_back(task);
    } else {
      ObserveMissing(run, m_options);
    }
  }
  AdvanceAll(worker, missing, RunEvent::kMissing, now, out);
}

// It uses capacity, which is not reserved for it, until it is gone.
void Fleet::StopUnknownRun(Worker& worker,
                           const RunningTask& running,
                           base::MonoTime now,
                           SchedulerOutput& out) {
  m_released_runs.OnReported(running.task, running.run, worker.entry.boot,
                             std::nullopt, now);
  worker.has_unknown_run = true;
  const StopReason reason = IsOpenSend(worker, running)
                                ? StopReason::kRestarted
                                : StopReason::kUnknownRun;
  out.stops.push_back({worker.entry.boot, worker.entry.address, running.task,
                       running.run, worker.fence, OrderTimeout(now), reason,
                       now});
  m_stop_counts.Add(reason);
}

void Fleet::RecordRunTime(const Worker& worker,
                          const TaskRef& task,
                          const Run& run,
                          base::MonoTime now) {
  if (run.started_at == base::MonoTime{} || run.resumed ||
      worker.last_hold_failed_at >= run.started_at ||
      m_own_delay.Recent(now) > base::Millis{0}) {
    return;
  }
  m_timed_runs.push_back(
      {task, worker.entry.boot.id, base::MillisBetween(run.started_at, now)});
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

void Fleet::UpdateFailureCount(Worker& worker,
                               EndCause cause,
                               base::MonoTime now) {
  if (cause == EndCause::kDone) {
    if (worker.failures_in_row >= m_options.max_failures_in_row) {
      worker.avoid_until = now;
    }
    worker.failures_in_row = 0;
  } else if (cause == EndCause::kFailed) {
    ++worker.failures_in_row;
    if (worker.failures_in_row >= m_options.max_failures_in_row) {
      worker.avoid_until = now + m_options.worker_backoff;
      base::LogEvent(
          base::Severity::kWarning, "AZ9107",
          "worker failed several tasks in a row; placing no tasks on it",
          {{"worker", worker.entry.boot.id},
           {"failures", std::to_string(worker.failures_in_row)}});
    }
  }
}

void Fleet::OnEndStored(const PendingRecord& stored) {
  Worker* worker = FindWorker(stored.worker.id);
  if (worker == nullptr || worker->entry.boot != stored.worker) {
    return;
  }
  worker->ends_stored = std::max(worker->ends_stored, stored.end_number);
  if (worker->ends_stored >= worker->ends_read &&
      worker->holds_in_flight == 0 && worker->held_ends.empty()) {
    worker->next_hold = {};
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
