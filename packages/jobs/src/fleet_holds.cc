// Hold orders to workers: when they are due, and the handling of workers that
// do not answer.

#include <algorithm>
#include <utility>
#include <vector>

#include "base/event_log.h"
#include "jobs/fleet.h"

namespace azurespur::jobs {

namespace {

// Shorter than for other tasks, because urgent tasks are short.
constexpr base::Millis kUrgentStallTimeout{1300};
constexpr int32_t kAllDonePercent = 100;

// The fleet counts as degraded if at least this many workers left orders
// unanswered within the window.
constexpr int64_t kDegradedMinWorkers = 2;
constexpr base::Millis kUnansweredWindow{3000};
// Limits the rate of hold orders to all workers together.
constexpr base::Millis kMinTimePerHold{4};

bool HasPhase(const Worker& worker, RunPhase phase) {
  return std::any_of(
      worker.runs.begin(), worker.runs.end(),
      [phase](const auto& entry) { return entry.second.phase == phase; });
}

}  // namespace

void Fleet::OnHoldFailed(const HoldOrder& order,
                         OrderOutcome outcome,
                         base::MonoTime now,
                         SchedulerOutput& out) {
  const WorkerBoot& boot = order.worker;
  Worker* worker = FindWorker(boot.id);
  if (worker == nullptr) {
    return;
  }
  ObserveOutcome(*worker, {boot, order.address, order.fence, order.sent_at},
                 outcome, now, out);
  if (order.lease_until_ms && outcome == OrderOutcome::kUnknown) {
    worker->last_grant_at = now;
  }
  // An order under a former token tells nothing of the worker as it is now.
  if (worker->entry.boot != boot || order.fence != worker->fence) {
    return;
  }
  worker->holds_in_flight = std::max(0, worker->holds_in_flight - 1);
  worker->next_hold = now + SilentRetryInterval(*worker, now);
  worker->last_hold_failed_at = now;
  if (outcome == OrderOutcome::kUnknown) {
    RecordUnanswered(boot.id, now);
  }
  const bool late = outcome == OrderOutcome::kUnknown &&
                    m_own_delay.Recent(now) > base::Millis{0} &&
                    worker->late_holds < m_options.max_late_holds;
  worker->late_holds += late ? 1 : 0;
  if (worker->responsive && !late) {
    worker->responsive = false;
    worker->next_hold = now;  // Retries a single lost answer at once.
    base::LogEvent(base::Severity::kWarning, "AZ9108", "worker lost",
                   {{"worker", boot.id},
                    {"outcome", std::string(OrderOutcomeName(outcome))},
                    {"runs", std::to_string(worker->runs.size())}});
  }
}

void Fleet::Tick(base::MonoTime now, bool may_renew, SchedulerOutput& out) {
  for (auto& [id, worker] : m_workers) {
    ReleaseLapsed(worker, now, out);
    StopStalled(worker, now);
    SendStops(worker, now, out);
    ForgetOpenSends(worker, now);
    SendHoldIfDue(worker, now, may_renew, out);
  }
  ForgetOpenStarts(now);
  out.fences_used_up = out.fences_used_up || m_fences_used_up;
}

void Fleet::ReleaseLapsed(Worker& worker,
                          base::MonoTime now,
                          SchedulerOutput& out) {
  if (worker.responsive || now <= worker.lease_expires_at) {
    return;
  }
  std::vector<TaskRef> lapsed;
  for (const auto& [task, run] : worker.runs) {
    if (now > LapsedAfter(worker, task, run)) {
      lapsed.push_back(task);
    }
  }
  AdvanceAll(worker, lapsed, RunEvent::kLapsed, now, out);
}

void Fleet::SendHoldIfDue(Worker& worker,
                          base::MonoTime now,
                          bool may_renew,
                          SchedulerOutput& out) {
  const bool settled =
      HasPhase(worker, RunPhase::kStopConfirmed) ||
      (AwaitsReport(worker) && m_own_delay.Recent(now) == base::Millis{0});
  const int32_t allowed = settled ? 2 : 1;
  const std::string& address =
      worker.announced ? worker.announced->address : worker.entry.address;
  if (worker.holds_in_flight >= allowed || now < worker.next_hold ||
      address.empty()) {
    return;
  }
  HoldOrder order;
  order.worker = worker.entry.boot;
  order.address = address;
  order.fence = worker.fence;
  order.sent_at = now;
  order.timeout = OrderTimeout(now);
  order.max_link_wait = m_options.max_order_timeout - order.timeout;
  order.max_transfer = m_options.max_report_transfer;
  // A worker in doubt has to answer at once. It may be a new boot, so it gets
  // no longer lease, and no end counts as acknowledged there.
  if (worker.responsive && worker.late_holds == 0 && worker.clock_known &&
      !worker.announced) {
    // Repeated, it would make a new boot forget ends that it has not told.
    const int64_t ackable = AckableEnd(worker);
    if (ackable > worker.ends_forgotten) {
      order.acked_end_number = ackable;
      worker.fence_used = true;
    }
    if (may_renew) {
      order.lease_until_ms = ExtendLease(worker, now);
    }
    const bool unstored = worker.ends_read > worker.ends_stored;
    // It answers at once anyway, with the ends that it is to keep.
    const bool holds_ends = !worker.held_ends.empty();
    if (!settled && !unstored && !holds_ends) {
      order.wait =
          worker.runs.empty() ? m_options.idle_hold_wait : BusyHoldWait(now);
    }
    if (worker.has_unknown_run) {
      order.wait = std::min(order.wait, m_options.degraded_hold_wait);
    }
  }
  ++worker.holds_in_flight;
  worker.next_hold = now + SilentRetryInterval(worker, now);
  out.holds.push_back(std::move(order));
}

base::Millis Fleet::SilentRetryInterval(const Worker& worker,
                                        base::MonoTime now) const {
  // A boot that takes another's place has to be gone before a later one of the
  // worker can begin anything.
  const bool may_arrive =
      worker.other_boot_at == base::MonoTime{} &&
      std::any_of(worker.open_sends.begin(), worker.open_sends.end(),
                  [now](const OpenSend& send) { return now <= send.until; });
  return may_arrive ? m_options.open_send_retry_interval
                    : m_options.silent_retry_interval;
}

base::Millis Fleet::OrderTimeout(base::MonoTime now) const {
  return std::min(m_options.order_timeout + m_own_delay.Recent(now),
                  m_options.max_order_timeout);
}

base::Millis Fleet::StartTimeout(base::MonoTime now) const {
  return std::min(OrderTimeout(now), m_options.max_start_timeout);
}

void Fleet::RecordUnanswered(std::string_view worker_id, base::MonoTime now) {
  if (m_own_delay.Recent(now) > base::Millis{0}) {
    return;
  }
  m_last_unanswered[std::string(worker_id)] = now;
  std::erase_if(m_last_unanswered, [now](const auto& entry) {
    return entry.second + kUnansweredWindow < now;
  });
}

// Answers are also missing if this VM is too slow to handle them, and more hold
// orders than it can handle would prevent its recovery.
base::Millis Fleet::BusyHoldWait(base::MonoTime now) const {
  if (!IsDegraded(now)) {
    return m_options.busy_hold_wait;
  }
  const base::Millis least =
      kMinTimePerHold * static_cast<int64_t>(m_workers.size());
  return std::clamp(least, m_options.degraded_hold_wait,
                    m_options.busy_hold_wait);
}

bool Fleet::IsDegraded(base::MonoTime now) const {
  return std::count_if(m_last_unanswered.begin(), m_last_unanswered.end(),
                       [now](const auto& entry) {
                         return now <= entry.second + kUnansweredWindow;
                       }) >= kDegradedMinWorkers;
}

void Fleet::SendStops(Worker& worker,
                      base::MonoTime now,
                      SchedulerOutput& out) {
  for (auto& [task, run] : worker.runs) {
    const bool wanted = (run.phase == RunPhase::kStartUnknown && !run.resend) ||
                        (run.stop_requested && run.phase == RunPhase::kRunning);
    if (!wanted || now < run.stop_sent_at + m_options.stop_retry_interval) {
      continue;
    }
    run.stop_sent_at = now;
    run.stop_reason = run.stop_reason.value_or(StopReason::kStartUnknown);
    if (!std::exchange(run.stop_counted, true)) {
      m_stop_counts.Add(*run.stop_reason);
    }
    out.stops.push_back({worker.entry.boot, worker.entry.address, task, run.run,
                         worker.fence, OrderTimeout(now), *run.stop_reason,
                         now});
  }
}

// A member of a gang that has done its own work waits for the slowest one.
bool Fleet::IsStalled(const Worker& worker,
                      const TaskRef& task,
                      const Run& run) {
  if (run.phase != RunPhase::kRunning || run.stop_requested) {
    return false;
  }
  const base::Millis limit =
      run.urgent ? kUrgentStallTimeout : m_options.stall_timeout;
  const bool waits = run.gang && run.percent >= kAllDonePercent;
  base::MonoTime progress_at = run.progress_at;
  if (waits && worker.newest_hold_sent_at > progress_at + limit) {
    progress_at = LastProgressOf(task.StepOf());
  }
  return worker.newest_hold_sent_at > progress_at + limit;
}

std::vector<Run*> Fleet::RunsOf(const StepRef& step) {
  std::vector<Run*> runs;
  const TaskRef first{step.job, step.step, 0};
  for (auto it = m_index.lower_bound(first);
       it != m_index.end() && it->first.StepOf() == step; ++it) {
    runs.push_back(&FindWorker(it->second)->runs.at(it->first));
  }
  return runs;
}

base::MonoTime Fleet::LastProgressOf(const StepRef& step) {
  base::MonoTime last{};
  for (const Run* run : RunsOf(step)) {
    last = std::max(last, run->progress_at);
  }
  return last;
}

// All members end together, but their workers report it one after the other.
void Fleet::RecordGangProgress(const StepRef& step, base::MonoTime now) {
  for (Run* run : RunsOf(step)) {
    run->progress_at = now;
  }
}

void Fleet::StopStalled(Worker& worker, base::MonoTime now) {
  // The end of a run without progress may be one that isn't listed yet.
  if (!worker.responsive || worker.more_ends) {
    return;
  }
  for (auto& [task, run] : worker.runs) {
    if (!IsStalled(worker, task, run)) {
      continue;
    }
    run.stop_requested = true;
    run.stop_reason = StopReason::kStalled;
    worker.avoid_until = now + m_options.worker_backoff;
    base::LogEvent(base::Severity::kWarning, "AZ9109",
                   "run made no progress; stopping it",
                   {{"task", ToString(task)},
                    {"run", std::to_string(run.run)},
                    {"worker", worker.entry.boot.id},
                    {"percent", std::to_string(run.percent)}});
  }
}

}  // namespace azurespur::jobs
