#include "control/run_controller.h"

#include <algorithm>
#include <utility>

#include "base/event_log.h"
#include "base/metrics.h"
#include "control/log_channel.h"
#include "control/run_listener.h"
#include "control/task_ledger.h"
#include "control/task_records.h"
#include "wire/codec.h"

namespace azurespur::control {

RunController::RunController(const RunControllerDeps& deps,
                             const RunControllerOptions& options,
                             RunListener& listener)
    : m_deps(deps),
      m_options(options),
      m_listener(listener),
      m_starts(deps.metrics.GetCounter("azurespur_task_starts_total")),
      m_adoptions(deps.metrics.GetCounter("azurespur_task_adoptions_total")) {}

void RunController::OnTaskChanged(const TaskState& task) {
  const std::string& id = task.spec.id;
  const auto found = m_runs.find(id);
  if (found != m_runs.end()) {
    TaskRun& run = found->second;
    const bool over =
        run.attempt != task.attempt || HasEnded(task) || task.places.empty();
    if (!over) {
      run.started_recorded |= task.phase != TaskPhase::kBound;
      run.held = task.phase == TaskPhase::kMayHaveRun;
      run.cancel = task.cancel_requested;
      RegainMembers(run, task);
      Advance(run);
      return;
    }
    DropRun(id);
  }
  const bool bound = IsBound(task) || task.phase == TaskPhase::kMayHaveRun;
  if (bound) {
    CreateRun(task);
  }
}

void RunController::CreateRun(const TaskState& task) {
  bool all_owned = true;
  bool any_owned = false;
  for (size_t i = 0; i < task.places.size(); ++i) {
    const std::string& worker = task.places[i].worker;
    if (IsGone(task, i)) {
      continue;
    }
    // `task` was read before: if the lease still holds now, no other VM can
    // have bound and started it meanwhile, so the newest report tells.
    if (!m_owned.contains(worker) || !m_deps.fleet.Owns(worker)) {
      all_owned = false;
      continue;
    }
    any_owned = true;
    // Renewed even while other members' workers are not owned yet.
    m_deps.fleet.AddTask(worker, MemberRunId(task.spec.id, task.attempt, i));
  }
  if (!all_owned || task.places.empty()) {
    if (any_owned) {
      m_split.emplace(task.spec.id, m_deps.clock.Now());
    }
    return;
  }
  m_split.erase(task.spec.id);
  TaskRun run = MakeTaskRun(task);
  for (size_t i = 0; i < task.places.size(); ++i) {
    const auto owned = m_owned.find(task.places[i].worker);
    if (owned != m_owned.end()) {
      owned->second.tasks.insert(run.id);
    }
    const bool own_binding =
        owned != m_owned.end() && task.phase == TaskPhase::kBound &&
        task.places[i].marker == m_deps.fleet.MarkerOf(task.places[i].worker);
    if (!own_binding) {
      run.members[i].gone = IsGone(task, i);
      Inherit(run, task, i);
    }
  }
  const std::string id = run.id;
  TaskRun& created = m_runs.insert_or_assign(id, std::move(run)).first->second;
  m_listener.OnRunCreated(created);
  for (MemberRun& member : created.members) {
    StopIfThrottled(created, member);
    m_listener.OnWorkerChanged(member.worker);
  }
  Advance(created);
}

void RunController::DropRun(const std::string& id) {
  const auto found = m_runs.find(id);
  if (found == m_runs.end()) {
    return;
  }
  const TaskRun run = std::move(found->second);
  m_runs.erase(found);
  m_busy.erase(id);
  m_listener.OnRunEnded(id);
  for (const MemberRun& member : run.members) {
    m_deps.fleet.RemoveTask(member.worker, member.run_id);
    const auto owned = m_owned.find(member.worker);
    if (owned != m_owned.end()) {
      owned->second.tasks.erase(id);
      m_listener.OnWorkerChanged(member.worker);
    }
  }
}

void RunController::Advance(TaskRun& run) {
  const RunDecision decision = DecideRun(run);
  if (decision.step == RunStep::kWait) {
    return;
  }
  m_busy.insert(run.id);
  if (run.append_pending || m_deps.clock.Now() < run.retry_at) {
    return;
  }
  switch (decision.step) {
    case RunStep::kWait:
      return;
    case RunStep::kStart:
      return StartMembers(run);
    case RunStep::kRelease:
      return ReleaseMembers(run);
    case RunStep::kStop:
      return StopMembers(run);
    case RunStep::kRecordStarted:
      return Record(run, wire::EntryKind::kTaskStarted,
                    wire::Encode(TaskStarted{run.id, run.attempt}));
    case RunStep::kRecordEnd: {
      const bool repeated = run.held && decision.end == TaskPhase::kMayHaveRun;
      if (repeated || !WriteIntents(run)) {
        return;
      }
      return Record(run, wire::EntryKind::kTaskEnd,
                    wire::Encode(TaskEnd{run.id, run.attempt, decision.end,
                                         decision.reason, decision.result}));
    }
    case RunStep::kGiveBack: {
      const auto task = m_deps.ledger.Find(run.id);
      if (!task || task->attempt != run.attempt || !WriteIntents(run)) {
        return;
      }
      return Record(
          run, wire::EntryKind::kTaskGiveBack,
          wire::Encode(TaskGiveBack{run.id, task->version, true, run.checkpoint,
                                    decision.reason}));
    }
  }
}

void RunController::Record(TaskRun& run,
                           wire::EntryKind kind,
                           std::string payload) {
  run.append_sent = m_deps.clock.Now();
  const base::MonoTime deadline = run.append_sent + m_options.append_deadline;
  run.append_pending = m_deps.log.Append(
      kind, std::move(payload), deadline,
      [this, box = m_deps.mailbox, id = run.id, attempt = run.attempt,
       kind](const auto& result) {
        box->Push([this, id, attempt, kind, seen = base::Ok(result)] {
          OnRecorded(id, attempt, kind, seen);
        });
      });
  if (!run.append_pending) {
    run.retry_at = m_deps.clock.Now() + m_options.append_retry;
  }
}

void RunController::OnRecorded(const std::string& id,
                               uint64_t attempt,
                               wire::EntryKind kind,
                               bool seen) {
  const auto found = m_runs.find(id);
  if (found == m_runs.end() || found->second.attempt != attempt) {
    return;
  }
  TaskRun& run = found->second;
  run.append_pending = false;
  if (!seen) {
    // Every record is conditional, so a repeat does no harm.
    run.retry_at = m_deps.clock.Now() + m_options.append_retry;
    return;
  }
  if (kind == wire::EntryKind::kTaskStarted) {
    run.started_recorded = true;
  }
  if (const auto task = m_deps.ledger.Find(id)) {
    OnTaskChanged(*task);
  } else {
    DropRun(id);
  }
}

void RunController::Tick() {
  SweepRemovedWorkers();
  ForgetLateStarts();
  YieldSplitTasks();
  const std::vector<std::string> busy(m_busy.begin(), m_busy.end());
  for (const std::string& id : busy) {
    const auto found = m_runs.find(id);
    if (found == m_runs.end()) {
      m_busy.erase(id);
      continue;
    }
    RetryCalls(found->second);
    if (!m_runs.contains(id)) {
      continue;
    }
    TaskRun& run = m_runs.at(id);
    const bool waiting = std::ranges::any_of(run.members, [](const auto& m) {
      return IsActive(m) && m.phase != MemberPhase::kRunning;
    });
    if (!waiting && DecideRun(run).step == RunStep::kWait) {
      m_busy.erase(id);
      continue;
    }
    Advance(run);
  }
}

void RunController::Move(const std::string& id, std::string reason) {
  const auto found = m_runs.find(id);
  if (found == m_runs.end() || found->second.non_idempotent ||
      found->second.moving) {
    return;
  }
  found->second.moving = true;
  found->second.move_reason = std::move(reason);
  Advance(found->second);
}

void RunController::NoteSettled(TaskRun& run, MemberRun& member) {
  m_deps.fleet.RemoveTask(member.worker, member.run_id);
  if (member.phase == MemberPhase::kFinished) {
    m_listener.OnMemberFinished(run, member);
  } else if (member.phase == MemberPhase::kFailed) {
    m_listener.OnMemberFailed(run, member);
  }
  m_listener.OnWorkerChanged(member.worker);
}

placement::WorkerUsage RunController::UsageOf(const std::string& worker) const {
  placement::WorkerUsage usage;
  const auto found = m_owned.find(worker);
  if (found == m_owned.end()) {
    return usage;
  }
  usage.report_age_ms =
      std::max<int64_t>(0, m_deps.fleet.ReportAgeMillis(worker));
  std::unordered_map<std::string_view, const services::WorkerTask*> held;
  for (const services::WorkerTask& entry : found->second.report.tasks) {
    if (entry.state == services::WorkerTaskState::kRunning ||
        entry.state == services::WorkerTaskState::kThrottled) {
      held.emplace(entry.id, &entry);
      usage.reported = placement::Add(
          usage.reported,
          {entry.cpu_millis, entry.memory_mb, entry.accelerators});
    }
  }
  const auto late_starts = m_late_starts.find(worker);
  if (late_starts != m_late_starts.end()) {
    for (const LateStart& late : late_starts->second) {
      if (MayLand(late) && !held.contains(late.run_id)) {
        usage.bound = placement::Add(usage.bound, late.size);
        usage.unreported = placement::Add(usage.unreported, late.size);
      }
    }
  }
  for (const TaskRun* run : RunsOn(worker)) {
    for (const MemberRun& member : run->members) {
      if (member.worker != worker || IsSettled(member)) {
        continue;
      }
      usage.bound = placement::Add(usage.bound, run->size);
      if (!held.contains(member.run_id)) {
        usage.unreported = placement::Add(usage.unreported, run->size);
      }
    }
  }
  return usage;
}

std::vector<const TaskRun*> RunController::RunsOn(
    const std::string& worker) const {
  std::vector<const TaskRun*> runs;
  const auto found = m_owned.find(worker);
  if (found == m_owned.end()) {
    return runs;
  }
  for (const std::string& id : found->second.tasks) {
    const auto run = m_runs.find(id);
    if (run != m_runs.end()) {
      runs.push_back(&run->second);
    }
  }
  return runs;
}

size_t RunController::UnsettledCount() const {
  return std::ranges::count_if(m_runs, [](const auto& item) {
    const TaskRun& run = item.second;
    const bool moving = std::ranges::any_of(run.members, [](const auto& m) {
      return IsActive(m) && m.phase != MemberPhase::kRunning;
    });
    return moving || run.append_pending;
  });
}

std::pair<TaskRun*, MemberRun*> RunController::FindMember(
    std::string_view run_id) {
  const RunIdParts parts = ParseRunId(run_id);
  const auto found = m_runs.find(parts.task);
  if (found == m_runs.end()) {
    return {nullptr, nullptr};
  }
  for (MemberRun& member : found->second.members) {
    if (member.run_id == run_id) {
      return {&found->second, &member};
    }
  }
  return {nullptr, nullptr};
}

}  // namespace azurespur::control
