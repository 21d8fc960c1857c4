#include "jobs/scheduler.h"

#include <algorithm>
#include <utility>

#include "base/event_log.h"
#include "job_order.h"
#include "worker_fit.h"

namespace azurespur::jobs {

namespace {

constexpr base::Millis kPruneInterval{2000};
constexpr base::Millis kCountsLogInterval{1000};

bool IsIncompleteGang(const StepProgress& step) {
  int32_t newest = 0;
  for (const TaskProgress& task : step.tasks) {
    newest = std::max(newest, task.run);
  }
  return newest > 0 && step.bound > 0 &&
         std::any_of(step.tasks.begin(), step.tasks.end(),
                     [newest](const TaskProgress& task) {
                       return task.phase == TaskPhase::kWaiting &&
                              task.run == newest;
                     });
}

}  // namespace

Scheduler::Scheduler(const SchedulerOptions& options, const JobTable& table)
    : m_options(options),
      m_table(table),
      m_fleet(options),
      m_pacer(options.link_mbps),
      m_speeds(options.min_speed_spread) {}

void Scheduler::Adopt(base::MonoTime now) {
  for (const auto& [id, job] : m_table.jobs()) {
    for (size_t s = 0; s < job.steps.size(); ++s) {
      const StepProgress& step = job.steps[s];
      for (size_t i = 0; i < step.tasks.size(); ++i) {
        const TaskProgress& task = step.tasks[i];
        if (task.phase == TaskPhase::kBound) {
          m_fleet.Adopt(
              {id, static_cast<int32_t>(s), static_cast<int32_t>(i)}, task.run,
              task.worker, job.spec.steps[s].demand, job.spec.steps[s].gang,
              now, m_fleet.IndexOfAccount(job.spec.account), NeedsTicket(job));
        }
      }
    }
  }
  for (const auto& [task, start] : m_table.open_starts()) {
    const Job* job = m_table.Find(task.job);
    if (job == nullptr || !NeedsTicket(*job)) {
      m_fleet.AdoptOpenStart(task, start.worker, now);
    }
  }
  for (const auto& [id, worker] : m_table.workers()) {
    m_fleet.SetAdoptedAddress(worker.boot, worker.address);
  }
}

void Scheduler::SetWorkers(std::span<const WorkerEntry> entries,
                           base::MonoTime now) {
  m_fleet.SetEntries(entries, now);
}

void Scheduler::OnStored(const PendingRecord& stored,
                         base::MonoTime append_sent_at,
                         base::MonoTime now,
                         SchedulerOutput& out) {
  if (stored.end_number > 0) {
    m_fleet.OnEndStored(stored);
  }
  if (const auto* bind = std::get_if<BindRecord>(&stored.record)) {
    SendStart(*bind, append_sent_at, now, out);
  } else if (const auto* end = std::get_if<EndRecord>(&stored.record)) {
    if (end->kind == EndKind::kFailed) {
      m_last_failed_worker[end->task] = stored.worker.id;
    }
  }
}

const QueueTerms* Scheduler::TermsOf(const Job& job) const {
  const auto policy = m_policy.queues.find(job.spec.queue);
  if (policy != m_policy.queues.end()) {
    return &policy->second;
  }
  return job.terms ? &*job.terms : nullptr;
}

bool Scheduler::NeedsTicket(const Job& job) const {
  const QueueTerms* terms = TermsOf(job);
  return terms != nullptr && terms->advice.has_value();
}

int64_t* Scheduler::ReasonNotToStart(const BindRecord& bind,
                                     const Job* job,
                                     base::MonoTime append_sent_at,
                                     base::MonoTime now) {
  if (job == nullptr || IsFinal(job->state)) {
    return &m_unsent.job_over;
  }
  if (now > append_sent_at + m_options.max_renew_after_append) {
    return &m_unsent.too_old;
  }
  const bool allowed = !NeedsTicket(*job) ||
                       m_advice.EligibilityOf(bind.task.StepOf(), bind.worker,
                                              now) == Eligibility::kEligible;
  return allowed ? nullptr : &m_unsent.no_ticket;
}

void Scheduler::SendStart(const BindRecord& bind,
                          base::MonoTime append_sent_at,
                          base::MonoTime now,
                          SchedulerOutput& out) {
  const Job* job = m_table.Find(bind.task.job);
  const uint64_t number = m_stored_binds++;
  int64_t* reason = ReasonNotToStart(bind, job, append_sent_at, now);
  const Worker* worker =
      reason == nullptr
          ? m_fleet.BeginStart(bind.task, bind.run, NeedsTicket(*job), now)
          : nullptr;
  if (worker == nullptr) {
    ++(reason != nullptr ? *reason : m_unsent.no_worker);
    m_fleet.ReleaseUnsent(bind.task, now, out);
    return;
  }
  m_unsettled_binds[{bind.task, bind.run}] = number;
  m_unsettled_numbers.insert(number);
  StartOrder order = MakeStart(bind.task, bind.run, *job, *worker, now);
  if (NeedsTicket(*job)) {
    order.ticket = m_advice.TicketOf(bind.task.StepOf(), bind.worker.id);
  }
  out.starts.push_back(std::move(order));
}

StartOrder Scheduler::MakeStart(const TaskRef& ref,
                                int32_t run,
                                const Job& job,
                                const Worker& worker,
                                base::MonoTime now) {
  const auto step = static_cast<size_t>(ref.step);
  const StepProgress& progress = job.steps[step];
  const auto& task = progress.tasks[static_cast<size_t>(ref.index)];
  StartOrder order;
  order.worker = worker.entry.boot;
  order.address = worker.entry.address;
  order.task = ref;
  order.run = run;
  order.payload = job.spec.payload;
  order.lease_until_ms = m_fleet.ExtendLease(worker, now);
  order.fence = worker.fence;
  order.sent_at = now;
  order.timeout = m_fleet.StartTimeout(now);
  order.checkpoint =
      job.spec.steps[step].gang ? progress.gang_checkpoint : task.checkpoint;
  return order;
}

uint64_t Scheduler::settled_binds() const {
  return m_unsettled_numbers.empty() ? m_stored_binds
                                     : *m_unsettled_numbers.begin();
}

void Scheduler::SettleBind(const StartOrder& order) {
  const auto found = m_unsettled_binds.find({order.task, order.run});
  if (found != m_unsettled_binds.end()) {
    m_unsettled_numbers.erase(found->second);
    m_unsettled_binds.erase(found);
  }
}

// The worker may be another one since its restart.
bool Scheduler::FitsOn(const TaskRef& task, const Worker& worker) const {
  const Job* job = m_table.Find(task.job);
  const QueueTerms* terms = job != nullptr ? TermsOf(*job) : nullptr;
  if (terms == nullptr || IsFinal(job->state)) {
    return false;
  }
  const StepSpec& spec = job->spec.steps[static_cast<size_t>(task.step)];
  return worker.listed && !worker.entry.draining &&
         IsFit(worker.entry, *terms, spec) &&
         placement::Fits(worker.used, worker.entry.capacity);
}

void Scheduler::ResendStarts(base::MonoTime now, SchedulerOutput& out) {
  for (const TaskRef& task : m_fleet.DueResends()) {
    const std::string& id = m_fleet.WorkerIdOf(task);
    const Worker& found = m_fleet.workers().find(id)->second;
    if (!FitsOn(task, found)) {
      m_fleet.DropResend(task);
      continue;
    }
    const Worker& worker = m_fleet.BeginResend(task, now);
    const Run& run = worker.runs.at(task);
    StartOrder order =
        MakeStart(task, run.run, *m_table.Find(task.job), worker, now);
    order.send_count = run.start_sends;
    if (!run.checkpoint.empty()) {
      order.checkpoint = run.checkpoint;
    }
    out.starts.push_back(std::move(order));
  }
}

void Scheduler::OnStarted(const StartOrder& order,
                          const StartAnswer& answer,
                          base::MonoTime now,
                          SchedulerOutput& out) {
  const OrderOutcome outcome = answer.outcome;
  SettleBind(order);
  if (outcome == OrderOutcome::kBadTicket) {
    m_advice.InvalidateTicket(order.task.StepOf(), order.worker.id);
  }
  m_fleet.ObserveDelay(order.sent_at + order.timeout, now);
  const Run* run = m_fleet.FindRun(order.task);
  // Later ones tell of lost answers, not of how much the leader can send.
  if (outcome != OrderOutcome::kUnknown && run != nullptr &&
      run->run == order.run &&
      order.send_count <= m_options.max_silent_start_sends) {
    m_pacer.OnAnswer(now - run->start_sent_at, now);
  }
  if (outcome == OrderOutcome::kUnknown && m_fleet.MayRepeatStart(order)) {
    StartOrder again = order;
    ++again.send_count;
    again.sent_at = now;
    again.timeout = m_fleet.StartTimeout(now);
    m_fleet.OnStartRepeated(order.task, now, out);
    out.starts.push_back(std::move(again));
    return;
  }
  m_fleet.OnStarted(order, answer, now, out);
  if (outcome == OrderOutcome::kAccepted) {
    RecordJobStarted(order.task.job, out);
  }
}

void Scheduler::RecordJobStarted(JobId id, SchedulerOutput& out) {
  const Job* job = m_table.Find(id);
  if (job != nullptr && job->state == JobState::kQueued &&
      m_recorded_starts.insert(id).second) {
    AddRecord(out, JobStartedRecord{id});
  }
}

void Scheduler::OnStopped(const StopOrder& order,
                          OrderOutcome outcome,
                          base::MonoTime now,
                          SchedulerOutput& out) {
  m_fleet.OnStopped(order, outcome, now, out);
}

void Scheduler::OnReport(const HoldOrder& order,
                         const WorkerReport& report,
                         base::MonoTime now,
                         SchedulerOutput& out) {
  m_fleet.OnReport(order, report, now, out);
  ObserveFinishedRuns(now);
  const auto worker = m_fleet.workers().find(order.worker.id);
  if (worker != m_fleet.workers().end() &&
      worker->second.entry.boot != order.worker) {
    m_speeds.OnRestart(order.worker.id);
  }
  for (const RunningTask& running : report.running) {
    RecordJobStarted(running.task.job, out);
  }
}

void Scheduler::OnHoldFailed(const HoldOrder& order,
                             OrderOutcome outcome,
                             base::MonoTime now,
                             SchedulerOutput& out) {
  m_fleet.ObserveDelay(order.sent_at + order.wait + order.timeout, now);
  m_fleet.OnHoldFailed(order, outcome, now, out);
}

void Scheduler::OnForwardedEnd(const EndRecord& end,
                               std::string_view worker_id,
                               base::MonoTime now,
                               SchedulerOutput& out) {
  m_fleet.OnForwardedEnd(end, worker_id, now, out);
}

void Scheduler::OnAdvice(uint64_t query_id,
                         std::span<const AdviceTicket> tickets,
                         base::MonoTime now) {
  if (const auto step = m_advice.OnAnswer(query_id, tickets, now)) {
    m_advised.insert(*step);
  }
}

void Scheduler::OnAdviceFailed(uint64_t query_id, base::MonoTime now) {
  m_advice.OnQueryFailed(query_id, now);
}

void Scheduler::Tick(base::MonoTime now,
                     int64_t unix_ms,
                     base::MonoTime last_append,
                     SchedulerOutput& out) {
  ObserveTick(now);
  m_advice.Tick(now);
  StopFinalJobs();
  StopIncompleteGangs();
  UpdateSpeeds(now);
  const bool full = now >= m_next_full_plan;
  m_plan_is_full = full;
  if (full) {
    m_next_full_plan = now + m_options.full_plan_interval;
  }
  DropReservations(full, now);
  m_pacer.BeginPlan(m_fleet.CountOutstanding());
  m_largest_free = FindLargestFree(now);
  std::vector<ReadyStep> ready = FindReady(full, now, unix_ms, out);
  if (m_shares.IsActive()) {
    PlaceByShares(ready, now, out);
  } else {
    m_account_loads.clear();
    std::stable_sort(ready.begin(), ready.end(), StartsBefore);
    for (const ReadyStep& step : ready) {
      if (!m_pacer.MayBind(step.terms->priority == 0)) {
        break;
      }
      PlaceStep(step, step.waiting.size(), now, out);
    }
  }
  m_advised.clear();
  m_counts.full_plans += full ? 1 : 0;
  m_counts.steps_planned += static_cast<int64_t>(ready.size());
  if (full) {
    LogCounts(now, ready.size());
  }
  const bool may_renew = now <= last_append + m_options.max_renew_after_append;
  if (may_renew) {
    ResendStarts(now, out);
  }
  m_fleet.Tick(now, may_renew, out);
  PruneState(now);
}

void Scheduler::ObserveTick(base::MonoTime now) {
  if (m_last_tick != base::MonoTime{}) {
    m_fleet.ObserveDelay(m_last_tick + m_options.full_plan_interval, now);
  }
  m_last_tick = now;
}

// Non-firm reservations are rebuilt in each full plan, in the order of the
// steps. Otherwise two gangs that each keep a part of the capacity that both
// need would wait forever. A gang with new advice reserves anew as well.
void Scheduler::DropReservations(bool full, base::MonoTime now) {
  std::erase_if(m_reservations, [this, full, now](const auto& entry) {
    if (entry.second.firm) {
      return entry.second.expires <= now;
    }
    const bool drop = full || m_advised.count(entry.first) > 0;
    m_waiting_gangs -= drop ? 1 : 0;
    return drop;
  });
  if (full) {
    m_waiting_gangs = 0;
  }
}

// In a full cell most steps fit nowhere, and this tells without a look at each
// worker for each of them.
placement::Resources Scheduler::FindLargestFree(base::MonoTime now) const {
  placement::Resources largest;
  for (const auto& [id, worker] : m_fleet.workers()) {
    if (AcceptsTasks(worker, now)) {
      largest = placement::Max(largest, FreeCapacity(worker));
    }
  }
  return largest;
}

bool Scheduler::IsPlannedNow(const Job& job,
                             const QueueTerms& terms,
                             bool full) const {
  if (full || terms.priority == 0) {
    return true;
  }
  const auto advised = m_advised.lower_bound({job.spec.id, 0});
  return advised != m_advised.end() && advised->job == job.spec.id;
}

std::vector<ReadyStep> Scheduler::FindReady(bool full,
                                            base::MonoTime now,
                                            int64_t unix_ms,
                                            SchedulerOutput& out) {
  std::vector<ReadyStep> ready;
  for (const auto& [id, job] : m_table.jobs()) {
    if (IsFinal(job.state) || m_failing.count(id) > 0) {
      continue;
    }
    const QueueTerms* terms = TermsOf(job);
    if (terms != nullptr && IsPlannedNow(job, *terms, full)) {
      AddReadySteps(job, *terms, full, now, unix_ms, ready, out);
    }
  }
  return ready;
}

void Scheduler::AddReadySteps(const Job& job,
                              const QueueTerms& terms,
                              bool full,
                              base::MonoTime now,
                              int64_t unix_ms,
                              std::vector<ReadyStep>& ready,
                              SchedulerOutput& out) {
  for (size_t s = 0; s < job.steps.size(); ++s) {
    const StepProgress& progress = job.steps[s];
    const auto count = static_cast<int32_t>(progress.tasks.size());
    const bool gang = job.spec.steps[s].gang;
    const bool due =
        full || terms.priority == 0 ||
        m_advised.count({job.spec.id, static_cast<int32_t>(s)}) > 0;
    if (!due || progress.done + progress.bound == count ||
        !StepIsReady(job, s) || (gang && progress.bound > 0)) {
      continue;
    }
    if (FailIfAttemptsExhausted(job, s, terms, out)) {
      return;
    }
    ReadyStep step;
    step.ref = {job.spec.id, static_cast<int32_t>(s)};
    step.job = &job;
    step.terms = &terms;
    for (int32_t i = 0; i < count; ++i) {
      const bool waits =
          progress.tasks[static_cast<size_t>(i)].phase == TaskPhase::kWaiting;
      const TaskRef task{job.spec.id, step.ref.step, i};
      if (waits && m_fleet.FindRun(task) == nullptr &&
          !m_fleet.HasOpenStart(task)) {
        step.waiting.push_back(i);
      }
    }
    const bool whole = static_cast<int32_t>(step.waiting.size()) == count;
    if (step.waiting.empty() || (gang && !whole)) {
      continue;
    }
    step.account = m_fleet.IndexOfAccount(job.spec.account);
    if (ExceedsCap(step, now)) {
      continue;
    }
    SetSlack(step, unix_ms);
    ready.push_back(std::move(step));
  }
}

bool Scheduler::FailIfAttemptsExhausted(const Job& job,
                                        size_t s,
                                        const QueueTerms& terms,
                                        SchedulerOutput& out) {
  const StepProgress& progress = job.steps[s];
  int32_t failures = 0;
  if (job.spec.steps[s].gang) {
    failures = progress.failed_runs;
  } else {
    for (const TaskProgress& task : progress.tasks) {
      failures = std::max(failures, task.failures);
    }
  }
  if (failures < terms.max_attempts) {
    return false;
  }
  base::LogEvent(base::Severity::kInfo, "AZ9103", "job failed",
                 {{"job", FormatJobId(job.spec.id)},
                  {"step", std::to_string(s)},
                  {"failed_runs", std::to_string(failures)},
                  {"max_attempts", std::to_string(terms.max_attempts)},
                  {"policy_version", std::to_string(m_policy.version)}});
  m_failing.insert(job.spec.id);
  AddRecord(out, JobFailedRecord{job.spec.id});
  return true;
}

void Scheduler::StopStep(const Job& job, size_t s, StopReason reason) {
  const auto count = static_cast<int32_t>(job.steps[s].tasks.size());
  for (int32_t i = 0; i < count; ++i) {
    m_fleet.RequestStop({job.spec.id, static_cast<int32_t>(s), i}, reason);
  }
}

void Scheduler::StopFinalJobs() {
  for (const auto& [id, job] : m_table.jobs()) {
    if (!IsFinal(job.state)) {
      continue;
    }
    for (size_t s = 0; s < job.steps.size(); ++s) {
      StopStep(job, s, StopReason::kJobOver);
    }
  }
}

// A gang that lost a member can't complete. Its other members are stopped so
// that all members start together again.
void Scheduler::StopIncompleteGangs() {
  for (const auto& [id, job] : m_table.jobs()) {
    for (size_t s = 0; s < job.steps.size(); ++s) {
      if (!job.spec.steps[s].gang || !IsIncompleteGang(job.steps[s])) {
        continue;
      }
      StopStep(job, s, StopReason::kGangIncomplete);
    }
  }
}

// Says nothing while there was nothing to place.
void Scheduler::LogCounts(base::MonoTime now, size_t ready_steps) {
  const PlanCounts last = m_logged_counts;
  if (now < m_next_counts_log || m_counts.steps_planned == last.steps_planned) {
    return;
  }
  m_next_counts_log = now + kCountsLogInterval;
  m_logged_counts = m_counts;
  base::LogEvent(
      base::Severity::kInfo, "AZ9118", "plans made since the last such line",
      {{"full_plans", std::to_string(m_counts.full_plans - last.full_plans)},
       {"steps", std::to_string(m_counts.steps_planned - last.steps_planned)},
       {"workers_examined",
        std::to_string(m_counts.workers_examined - last.workers_examined)},
       {"placed", std::to_string(m_counts.tasks_placed - last.tasks_placed)},
       {"waiting_steps", std::to_string(ready_steps)}});
}

void Scheduler::PruneState(base::MonoTime now) {
  if (now < m_next_prune) {
    return;
  }
  m_next_prune = now + kPruneInterval;
  const JobTable& table = m_table;
  m_advice.RemoveJobsNotIn(table);
  std::erase_if(m_next_wait_log, [&table](const auto& entry) {
    return table.Find(entry.first.job) == nullptr;
  });
  std::erase_if(m_next_preemption, [&table](const auto& entry) {
    return table.Find(entry.first.job) == nullptr;
  });
  std::erase_if(m_last_failed_worker, [&table](const auto& entry) {
    return table.Find(entry.first.job) == nullptr;
  });
  const auto is_gone = [&table](JobId id) { return table.Find(id) == nullptr; };
  std::erase_if(m_failing, is_gone);
  m_run_times.RemoveSteps(is_gone);
  std::erase_if(m_recorded_starts, is_gone);
}

}  // namespace azurespur::jobs
