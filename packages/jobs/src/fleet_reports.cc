// Reports of workers: the runs that they list, lack or have ended.

#include <algorithm>
#include <set>
#include <vector>

#include "base/event_log.h"
#include "jobs/fleet.h"
#include "start_resend.h"

namespace azurespur::jobs {

namespace {

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

// The worker doesn't have the run, but a send of the start may still begin it.
void ObserveMissing(Run& run, const SchedulerOptions& options) {
  run.phase = NextPhase(run.phase, RunEvent::kMissingSendOpen);
  run.resend = run.resend || (run.phase == RunPhase::kStartUnknown &&
                              run.stop_sent_at == base::MonoTime{} &&
                              MayResend(run) && HasSendsLeft(run, options));
}

}  // namespace

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

}  // namespace azurespur::jobs
