#include "control/placement_controller.h"

#include <algorithm>
#include <utility>

#include "base/event_log.h"
#include "base/metrics.h"
#include "control/feasibility.h"
#include "control/lists_view.h"
#include "control/log_channel.h"
#include "control/peer_bus.h"
#include "control/proposal_board.h"
#include "control/run_controller.h"
#include "control/task_demand.h"
#include "control/task_ledger.h"
#include "control/task_records.h"
#include "control/vm_directory.h"
#include "control/worker_fleet.h"
#include "disruption_consent.h"
#include "start_failures.h"
#include "wire/codec.h"

namespace azurespur::control {

PlacementController::PlacementController(
    const PlacementControllerDeps& deps,
    const PlacementControllerOptions& options)
    : m_deps(deps),
      m_options(options),
      m_scheduler(options.scheduler),
      m_health(options.health),
      m_start_failures(std::make_unique<StartFailures>()),
      m_binds(deps.metrics.GetCounter("azurespur_task_binds_total")),
      m_pending_gauge(deps.metrics.GetCounter("azurespur_tasks_pending")),
      m_quarantined_gauge(
          deps.metrics.GetCounter("azurespur_workers_quarantined")),
      m_pass_us(deps.metrics.GetDistribution("azurespur_placement_pass_us")) {}

PlacementController::~PlacementController() = default;

int64_t PlacementController::NowMillis() const {
  return base::MillisBetween(base::MonoTime{}, m_deps.clock.Now());
}

void PlacementController::OnWorkerChanged(const std::string& worker) {
  m_stale_workers.insert(worker);
}

void PlacementController::OnRunCreated(const TaskRun& run) {
  if (m_scheduler.running().Find(run.id) == nullptr) {
    m_scheduler.Adopt(ToRunningTask(run, NowMillis()));
  }
}

void PlacementController::OnRunEnded(const std::string& id) {
  m_scheduler.EndTask(id);
  m_changed = true;
}

void PlacementController::OnMemberFailed(const TaskRun& run,
                                         const MemberRun& member) {
  const placement::JobKey job{run.plan, run.name};
  m_start_failures->Record(run.id, member.worker, m_deps.clock.Now());
  const placement::HealthVerdict verdict =
      m_health.RecordFailure(member.worker, job, NowMillis());
  if (verdict.quarantine_worker) {
    base::LogEvent(base::Severity::kWarning, "AZ5003", "worker quarantined",
                   {{"worker", member.worker}, {"reason", member.detail}});
  }
  if (verdict.fail_job_reason) {
    m_failed_jobs[job] = m_deps.clock.Now() + m_options.failed_job_memory;
    base::LogEvent(base::Severity::kWarning, "AZ5004", "job failed everywhere",
                   {{"plan", run.plan},
                    {"job", run.name},
                    {"reason", *verdict.fail_job_reason}});
  }
  m_stale_workers.insert(member.worker);
  m_stale_workers.insert(verdict.released_workers.begin(),
                         verdict.released_workers.end());
}

void PlacementController::OnMemberFinished(const TaskRun& run,
                                           const MemberRun& member) {
  const placement::JobKey job{run.plan, run.name};
  m_health.RecordSuccess(member.worker, job);
  if (member.running_since != base::MonoTime{}) {
    m_scheduler.ObserveRun(
        job, base::MillisBetween(member.running_since, m_deps.clock.Now()),
        member.peak);
  }
}

void PlacementController::OnTaskChanged(const TaskState& task) {
  const std::string& id = task.spec.id;
  const bool pending = task.phase == TaskPhase::kAccepted &&
                       task.domain == m_deps.identity.domain;
  if (!pending) {
    m_scheduler.queue().Remove(id);
    if (task.phase >= TaskPhase::kMayHaveRun) {
      m_start_failures->Forget(id);
    }
    return;
  }
  const auto failed = m_failed_jobs.find({task.spec.plan, task.spec.name});
  if (failed != m_failed_jobs.end() && m_deps.clock.Now() < failed->second) {
    FailUnbound(id, "its job fails on every worker that starts it");
    return;
  }
  SubmitToScheduler(task);
}

void PlacementController::SubmitToScheduler(const TaskState& task) {
  if (m_bindings.contains(task.spec.id)) {
    return;  // OnBound() decides.
  }
  const std::string& id = task.spec.id;
  if (m_start_failures->MustWait(id, m_deps.clock.Now())) {
    return;  // Tick() submits it when its wait is over.
  }
  placement::TaskDemand demand = ToDemand(task, NowMillis());
  demand.avoided_workers = m_start_failures->WorkersThatFailed(id);
  m_scheduler.Submit(demand);
  m_changed = true;
}

void PlacementController::OnTaskGone(const std::string& id) {
  m_scheduler.queue().Remove(id);
  m_start_failures->Forget(id);
}

void PlacementController::RetryFailed() {
  for (const std::string& id : m_start_failures->TakeDue(m_deps.clock.Now())) {
    if (const auto task = m_deps.ledger.Find(id)) {
      OnTaskChanged(*task);
    }
  }
}

void PlacementController::UpdateCell(const std::string& worker) {
  const services::Vm* vm = m_deps.fleet.FindVm(worker);
  if (vm == nullptr || m_deps.fleet.MarkerOf(worker).empty()) {
    m_scheduler.cell().RemoveWorker(worker);
    return;
  }
  placement::WorkerState state;
  state.id = worker;
  state.rack = vm->rack;
  if (vm->leaving) {
    state.condition = placement::WorkerCondition::kLeaving;
    MoveOff(worker, "worker " + worker + " is leaving");
  } else if (m_health.IsQuarantined(worker)) {
    state.condition = m_probes.contains(worker)
                          ? placement::WorkerCondition::kProbing
                          : placement::WorkerCondition::kQuarantined;
  }
  state.capacity = {vm->cpu_millis, vm->memory_mb, vm->accelerators};
  placement::WorkerUsage usage = m_runs->UsageOf(worker);
  if (!placement::Fits(usage.reported, state.capacity)) {
    RelieveOverload(worker);
  }
  for (const auto& [id, binding] : m_bindings) {
    for (const std::string& place : binding.placement.workers) {
      if (place == worker && !m_runs->HasRun(id)) {
        usage.bound = placement::Add(usage.bound, binding.size);
        usage.unreported = placement::Add(usage.unreported, binding.size);
      }
    }
  }
  state.used = placement::UsedResources(usage, state.capacity);
  m_scheduler.cell().UpdateWorker(state);
}

void PlacementController::MoveOff(const std::string& worker,
                                  const std::string& reason) {
  std::vector<std::string> ids;
  for (const TaskRun* run : m_runs->RunsOn(worker)) {
    ids.push_back(run->id);
  }
  for (const std::string& id : ids) {
    m_runs->Move(id, reason);
  }
}

// Tasks use more than they declared. The one that exceeds its size the most has
// to go, if it may run again elsewhere.
void PlacementController::RelieveOverload(const std::string& worker) {
  const base::MonoTime now = m_deps.clock.Now();
  base::MonoTime& relieved_at = m_relieved_at[worker];
  if (now < relieved_at + m_options.relief_interval) {
    return;
  }
  relieved_at = now;
  std::string worst;
  int64_t most = 0;
  for (const TaskRun* run : m_runs->RunsOn(worker)) {
    for (const MemberRun& member : run->members) {
      const int64_t excess = member.peak.memory_mb - run->size.memory_mb +
                             member.peak.cpu_millis - run->size.cpu_millis;
      if (member.worker == worker && !run->non_idempotent && excess > most) {
        most = excess;
        worst = run->id;
      }
    }
  }
  const std::string reason = "worker " + worker + " is overloaded";
  if (!worst.empty() && MayDisrupt(worst, "rebalance", reason)) {
    m_runs->Move(worst, reason);
  }
}

bool PlacementController::MayDisrupt(const std::string& id,
                                     std::string_view action,
                                     const std::string& reason) {
  const auto task = m_deps.ledger.Find(id);
  if (!task) {
    return false;
  }
  // The same for repeats of the action on this attempt.
  const std::string proposal =
      std::string(action) + "." + id + "." + std::to_string(task->attempt);
  const Consent consent =
      FindConsent(*m_deps.lists.Current(), task->spec.plan, action, proposal);
  if (consent == Consent::kAwaitsApproval && m_deps.proposals != nullptr) {
    constexpr int64_t kProposalMillis = 600'000;
    m_deps.proposals->Propose({proposal, task->spec.plan, std::string(action),
                               id, reason, kProposalMillis, 0});
  }
  return consent == Consent::kGiven;
}

void PlacementController::Tick() {
  const base::MonoTime now = m_deps.clock.Now();
  RetryFailed();
  if (m_list_version != m_deps.fleet.ListVersion()) {
    m_list_version = m_deps.fleet.ListVersion();
    for (std::string& worker : m_deps.fleet.OwnedWorkers()) {
      m_stale_workers.insert(std::move(worker));
    }
  }
  const std::set<std::string> stale = std::move(m_stale_workers);
  m_stale_workers.clear();
  for (const std::string& worker : stale) {
    UpdateCell(worker);
    m_changed = true;
  }
  const bool lists_changed =
      m_deps.lists.Current()->allowances_version != m_allowances_version;
  if (lists_changed || now >= m_reviewed_at + m_options.review_interval) {
    m_reviewed_at = now;
    Review();
  }
  const bool waiting = m_scheduler.queue().size() > 0;
  const bool due = now >= m_passed_at + m_options.pass_interval;
  if (waiting && (m_changed || due)) {
    RunPass();
  }
}

void PlacementController::RunPass() {
  const base::MonoTime start = m_deps.clock.Now();
  m_passed_at = start;
  m_changed = false;
  const size_t owned = m_scheduler.cell().WorkerCount();
  m_scheduler.SetAllWorkersKnown(owned > 0 &&
                                 owned == m_deps.fleet.WorkerCount());
  const placement::PassLimits limits;
  const placement::PassResult result = m_scheduler.RunPass(NowMillis(), limits);
  for (const placement::StartDecision& decision : result.starts) {
    Bind(decision);
  }
  for (const placement::FailDecision& failure : result.failures) {
    FailUnbound(failure.id, failure.reason);
  }
  for (const placement::PreemptionPlan& plan : result.preemptions) {
    Preempt(plan);
  }
  m_changed |= result.starts.size() >= limits.max_starts;
  const base::Micros took = m_deps.clock.Now() - start;
  m_pass_us.Observe(static_cast<double>(took.count()));
}

void PlacementController::Bind(const placement::StartDecision& start) {
  const std::string& id = start.demand.id;
  const auto task = m_deps.ledger.Find(id);
  if (!task || task->phase != TaskPhase::kAccepted) {
    m_scheduler.EndTask(id);
    return;
  }
  TaskBind bind{id,
                task->version,
                task->domain,
                {},
                start.size.cpu_millis,
                start.size.memory_mb,
                start.size.accelerators};
  bool owned = true;
  for (const std::string& worker : start.placement.workers) {
    bind.places.push_back(m_deps.fleet.PlaceOn(worker));
    owned &= !bind.places.back().marker.empty();
  }
  const bool queued =
      owned && m_deps.log.Append(wire::EntryKind::kTaskBind, wire::Encode(bind),
                                 m_deps.clock.Now() + m_options.append_deadline,
                                 [this, box = m_deps.mailbox, id](const auto&) {
                                   box->Push([this, id] { OnBound(id); });
                                 });
  if (!queued) {
    m_scheduler.Requeue(start.demand);
    return;
  }
  m_binds.Add(1);
  m_bindings[id] = {start.placement, start.size,
                    m_deps.clock.Now() + m_options.append_deadline * 2};
  for (const std::string& worker : start.placement.workers) {
    if (m_probes.erase(worker) > 0) {
      m_stale_workers.insert(worker);
    }
  }
}

// Seen or not, the record has no reservation of its own any more: a binding
// that took effect counts as a run.
void PlacementController::OnBound(const std::string& id) {
  const auto found = m_bindings.find(id);
  if (found == m_bindings.end()) {
    return;
  }
  const std::vector<std::string> workers = found->second.placement.workers;
  m_bindings.erase(found);
  const auto task = m_deps.ledger.Find(id);
  if (task) {
    m_runs->OnTaskChanged(*task);
  }
  if (!m_runs->HasRun(id)) {
    m_scheduler.EndTask(id);
    if (task) {
      OnTaskChanged(*task);
    }
  }
  m_stale_workers.insert(workers.begin(), workers.end());
}

void PlacementController::Preempt(const placement::PreemptionPlan& plan) {
  const std::string reason = "makes room for urgent task " + plan.task;
  // All are asked for, so that all are proposed; moving some would make no
  // room.
  bool allowed = true;
  for (const std::string& victim : plan.victims) {
    allowed = MayDisrupt(victim, "evict", reason) && allowed;
  }
  if (!allowed) {
    m_scheduler.MarkAwaitingApproval(plan.task);
    return;
  }
  for (const std::string& victim : plan.victims) {
    m_runs->Move(victim, reason);
  }
}

void PlacementController::FailUnbound(const std::string& id,
                                      const std::string& reason) {
  const auto task = m_deps.ledger.Find(id);
  if (!task || task->phase != TaskPhase::kAccepted) {
    return;
  }
  const auto list = m_deps.directory.Current();
  const std::string never = WhyNeverFits(task->spec, *list);
  const bool fits_here = FitsDomain(task->spec, *list, m_deps.identity.domain);
  if (!fits_here && never.empty()) {
    GiveBack(*task, reason);
    return;
  }
  Append(
      wire::EntryKind::kTaskEnd,
      wire::Encode(TaskEnd{id, task->attempt, TaskPhase::kFailed, reason, {}}));
}

bool PlacementController::Append(wire::EntryKind kind, std::string payload) {
  return m_deps.log.Append(kind, std::move(payload),
                           m_deps.clock.Now() + m_options.append_deadline,
                           [](const auto&) {});
}

}  // namespace azurespur::control
