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

namespace {

bool NeverSent(const base::Error& error) {
  return error.code == base::ErrorCode::kUnavailable;
}

}  // namespace

RunController::RunController(const RunControllerDeps& deps,
                             const RunControllerOptions& options,
                             RunListener& listener)
    : m_deps(deps),
      m_options(options),
      m_listener(listener),
      m_starts(deps.metrics.GetCounter("azurespur_task_starts_total")),
      m_adoptions(deps.metrics.GetCounter("azurespur_task_adoptions_total")) {}

void RunController::OnWorkerOwned(const std::string& worker,
                                  const platform::WorkerReport& report) {
  m_owned[worker].report = report;
  for (const std::string& id : m_deps.ledger.BoundTo(worker)) {
    if (const auto task = m_deps.ledger.Find(id)) {
      OnTaskChanged(*task);
    }
  }
  StopLeftovers(worker);
  m_listener.OnWorkerChanged(worker);
}

void RunController::OnWorkerLost(const std::string& worker) {
  const auto found = m_owned.find(worker);
  if (found == m_owned.end()) {
    return;
  }
  const std::set<std::string> tasks = std::move(found->second.tasks);
  m_owned.erase(found);
  for (const std::string& id : tasks) {
    const auto run = m_runs.find(id);
    if (run == m_runs.end()) {
      continue;
    }
    for (MemberRun& member : run->second.members) {
      if (member.worker == worker) {
        member.phase = MemberPhase::kUnsettled;
        member.lost = true;
        member.sent = m_deps.clock.Now();
      }
    }
    const bool all_lost =
        std::ranges::all_of(run->second.members, &MemberRun::lost);
    if (all_lost) {
      DropRun(id);
    } else {
      m_split.emplace(id, m_deps.clock.Now());
    }
  }
  m_listener.OnWorkerChanged(worker);
}

void RunController::OnWorkerRemoved(const std::string& worker) {
  m_gone.insert(worker);
  OnWorkerLost(worker);
  for (const std::string& id : m_deps.ledger.BoundTo(worker)) {
    if (const auto task = m_deps.ledger.Find(id)) {
      OnTaskChanged(*task);
    }
  }
}

// A process that started after the worker left the VM list never saw it there.
void RunController::SweepRemovedWorkers() {
  constexpr base::Millis kSweepInterval{1000};
  const base::MonoTime now = m_deps.clock.Now();
  if (now < m_swept_at + kSweepInterval || !m_deps.fleet.ListKnown()) {
    return;
  }
  m_swept_at = now;
  std::map<std::string, base::MonoTime> absent;
  for (const std::string& worker :
       m_deps.ledger.BoundWorkers(m_deps.identity.domain)) {
    if (m_deps.fleet.FindVm(worker) != nullptr) {
      m_gone.erase(worker);
      continue;
    }
    const auto since = m_absent_since.find(worker);
    absent[worker] = since == m_absent_since.end() ? now : since->second;
    if (!m_gone.contains(worker) &&
        now >= absent[worker] + m_options.removal_grace) {
      OnWorkerRemoved(worker);
    }
  }
  m_absent_since = std::move(absent);
}

void RunController::OnWorkerReport(const std::string& worker,
                                   const platform::WorkerReport& report) {
  const auto found = m_owned.find(worker);
  if (found == m_owned.end()) {
    return;
  }
  found->second.report = report;
  std::erase_if(found->second.late_starts, [this](const LateStart& late) {
    return late.until <= m_deps.clock.Now();
  });
  ApplyReport(worker);
  StopLeftovers(worker);
  m_listener.OnWorkerChanged(worker);
}

void RunController::ApplyReport(const std::string& worker) {
  OwnedWorker& owned = m_owned.at(worker);
  std::unordered_map<std::string_view, const platform::WorkerTask*> entries;
  for (const platform::WorkerTask& entry : owned.report.tasks) {
    entries.emplace(entry.id, &entry);
  }
  const std::vector<std::string> tasks(owned.tasks.begin(), owned.tasks.end());
  for (const std::string& id : tasks) {
    const auto run = m_runs.find(id);
    if (run == m_runs.end()) {
      continue;
    }
    for (MemberRun& member : run->second.members) {
      if (member.worker != worker) {
        continue;
      }
      const bool settled = IsSettled(member);
      const auto entry = entries.find(member.run_id);
      SettleFromReport(member, entry == entries.end() ? nullptr : entry->second,
                       owned.report.made_ms, m_options.settle.count());
      if (!settled && IsSettled(member)) {
        NoteSettled(run->second, member);
      }
    }
    Advance(run->second);
  }
}

// A throttled task that belongs to no run here was started by an earlier owner
// whose start landed late, or is the rest of an attempt that was given up. It
// does no work and must never.
void RunController::StopLeftovers(const std::string& worker) {
  const platform::Vm* vm = m_deps.fleet.FindVm(worker);
  const auto found = m_owned.find(worker);
  if (vm == nullptr || found == m_owned.end()) {
    return;
  }
  for (const platform::WorkerTask& entry : found->second.report.tasks) {
    const bool throttled = entry.state == platform::WorkerTaskState::kThrottled;
    const bool running = entry.state == platform::WorkerTaskState::kRunning;
    if ((!throttled && !running) || IsOwnershipMarker(entry.id) ||
        IsIntent(entry.id) || FindMember(entry.id).second != nullptr) {
      continue;
    }
    const RunIdParts parts = ParseRunId(entry.id);
    const auto task = m_deps.ledger.Find(parts.task);
    const bool superseded =
        task && (task->attempt > parts.attempt || HasEnded(*task) ||
                 task->phase == TaskPhase::kAccepted);
    if (throttled || superseded) {
      m_deps.workers.Stop(vm->address, entry.id, [](auto) {});
    }
  }
}

void RunController::OnNotRunning(const std::string& worker,
                                 std::span<const std::string> ids,
                                 base::MonoTime sent) {
  (void)worker;
  for (const std::string& id : ids) {
    const auto [run, member] = FindMember(id);
    if (member == nullptr || sent < member->held_since) {
      continue;  // The renewal may have come before the start.
    }
    if (member->phase == MemberPhase::kThrottled && !member->may_be_released) {
      member->phase = MemberPhase::kNotRun;
      NoteSettled(*run, *member);
      Advance(*run);
    } else if (member->phase == MemberPhase::kRunning) {
      member->phase = MemberPhase::kUnsettled;
    }
  }
}

void RunController::OnTaskChanged(const TaskState& task) {
  const std::string& id = task.spec.id;
  const auto found = m_runs.find(id);
  if (found != m_runs.end()) {
    TaskRun& run = found->second;
    const bool over = run.attempt != task.attempt || HasEnded(task) ||
                      task.phase == TaskPhase::kAccepted;
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
    if (m_gone.contains(worker) && task.domain == m_deps.identity.domain) {
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

// An inherited member's release may be under way: the stop's answer decides.
void RunController::StopIfThrottled(TaskRun& run, MemberRun& member) {
  if (member.phase == MemberPhase::kThrottled) {
    StopMember(run, member);
  }
}

// Takes up the members on workers that were lost and are owned again, or gone.
void RunController::RegainMembers(TaskRun& run, const TaskState& task) {
  for (size_t i = 0; i < run.members.size(); ++i) {
    MemberRun& member = run.members[i];
    const bool gone = m_gone.contains(member.worker);
    const bool owned =
        m_owned.contains(member.worker) && m_deps.fleet.Owns(member.worker);
    if (!member.lost || (!gone && !owned)) {
      continue;
    }
    member.lost = false;
    Inherit(run, task, i);
    if (owned) {
      m_owned.at(member.worker).tasks.insert(run.id);
      m_deps.fleet.AddTask(member.worker, member.run_id);
    }
    StopIfThrottled(run, member);
  }
}

// A gang whose workers belong to several VMs can't be led by any of them. All
// but the VM of lowest rank give way.
void RunController::YieldSplitTasks() {
  const base::MonoTime now = m_deps.clock.Now();
  for (auto it = m_split.begin(); it != m_split.end();) {
    if (now < it->second + m_options.split_run_wait) {
      ++it;
      continue;
    }
    const std::string id = it->first;
    it = m_split.erase(it);
    const auto task = m_deps.ledger.Find(id);
    const auto run = m_runs.find(id);
    const bool whole =
        run != m_runs.end() &&
        std::ranges::none_of(run->second.members, &MemberRun::lost);
    if (whole || !task || task->places.empty()) {
      continue;
    }
    for (const TaskPlace& place : task->places) {
      m_deps.fleet.Yield(place.worker);
    }
    m_split[id] = now;
    return;  // Yielding changes what is split.
  }
}

void RunController::Inherit(TaskRun& run, const TaskState& task, size_t i) {
  MemberRun& member = run.members[i];
  const platform::WorkerTask* entry =
      FindReported(member.worker, member.run_id);
  SettleInherited(member, entry, IsUntouched(task, i));
  member.held_since = m_deps.clock.Now();
  if (entry != nullptr) {
    m_adoptions.Add(1);
  }
}

// True if no earlier owner can have started the member: each would have left
// an intent, and it would still be there.
bool RunController::IsUntouched(const TaskState& task, size_t i) const {
  const TaskPlace& place = task.places[i];
  const auto owned = m_owned.find(place.worker);
  if (owned == m_owned.end()) {
    return false;
  }
  const platform::WorkerReport& report = owned->second.report;
  const bool remembers =
      report.boot == place.boot &&
      report.made_ms < place.made_ms + m_options.intent_lease.count();
  const std::string intent =
      IntentId(MemberRunId(task.spec.id, task.attempt, i));
  return task.spec.non_idempotent && task.phase == TaskPhase::kBound &&
         remembers && FindReported(place.worker, intent) == nullptr;
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

// Returns true once every member has its intent.
bool RunController::WriteIntents(TaskRun& run) {
  if (!run.non_idempotent) {
    return true;
  }
  bool written = true;
  for (MemberRun& member : run.members) {
    if (m_gone.contains(member.worker)) {
      continue;
    }
    if (!member.intent_written && !member.intent_pending) {
      WriteIntent(run, member);
    }
    written &= member.intent_written;
  }
  return written;
}

void RunController::WriteIntent(TaskRun& run, MemberRun& member) {
  const platform::Vm* vm = m_deps.fleet.FindVm(member.worker);
  if (vm == nullptr || !m_deps.fleet.Owns(member.worker)) {
    return;
  }
  (void)run;
  platform::WorkerStart start;
  start.id = IntentId(member.run_id);
  start.lease = m_options.intent_lease;
  member.sent = m_deps.clock.Now();
  member.intent_pending =
      m_deps.workers.Start(vm->address, std::move(start),
                           [this, run_id = member.run_id](auto result) {
                             m_deps.mailbox.Push([this, run_id, result] {
                               OnIntentAnswer(run_id, result);
                             });
                           });
}

void RunController::OnIntentAnswer(const std::string& run_id,
                                   const base::Outcome<base::Unit>& result) {
  const auto [run, member] = FindMember(run_id);
  if (member == nullptr) {
    return;
  }
  member->intent_pending = false;
  member->intent_written = base::Ok(result) || base::GetError(result).code ==
                                                   base::ErrorCode::kConflict;
  if (member->intent_written) {
    Advance(*run);
  }
}

void RunController::StartMembers(TaskRun& run) {
  const bool owned = std::ranges::all_of(run.members, [this](const auto& m) {
    return m_deps.fleet.Owns(m.worker);
  });
  const auto task = m_deps.ledger.Find(run.id);
  if (!owned || !task || !WriteIntents(run)) {
    return;
  }
  const bool room = std::ranges::all_of(
      run.members, [this](const auto& m) { return HasRoomFor(m.worker); });
  if (!room) {
    for (MemberRun& member : run.members) {
      if (member.phase == MemberPhase::kIdle) {
        member.phase = MemberPhase::kNotRun;
        member.detail = "no room on worker " + member.worker;
        NoteSettled(run, member);
      }
    }
    return;
  }
  for (MemberRun& member : run.members) {
    if (member.phase == MemberPhase::kIdle) {
      StartMember(run, member, *task);
    }
  }
}

void RunController::StartMember(TaskRun& run,
                                MemberRun& member,
                                const TaskState& task) {
  const platform::Vm* vm = m_deps.fleet.FindVm(member.worker);
  if (vm == nullptr || !m_deps.fleet.Owns(member.worker)) {
    return;
  }
  platform::WorkerStart start;
  start.id = member.run_id;
  start.cpu_millis = run.size.cpu_millis;
  start.memory_mb = run.size.memory_mb;
  start.accelerators = run.size.accelerators;
  start.lease = m_deps.fleet.TaskLease();
  start.payload = task.spec.payload;
  if (!task.checkpoint.empty()) {
    start.payload += " checkpoint=" + task.checkpoint;
  }
  member.sent = m_deps.clock.Now();
  const bool queued =
      m_deps.workers.Start(vm->address, std::move(start),
                           [this, run_id = member.run_id](auto result) {
                             m_deps.mailbox.Push([this, run_id, result] {
                               OnStartAnswer(run_id, result);
                             });
                           });
  if (queued) {
    member.phase = MemberPhase::kStarting;
  }
}

void RunController::OnStartAnswer(const std::string& run_id,
                                  const base::Outcome<base::Unit>& result) {
  const auto [run, member] = FindMember(run_id);
  if (member == nullptr || member->phase != MemberPhase::kStarting) {
    // The run was dropped with its worker: what landed is a leftover.
    return;
  }
  if (base::Ok(result)) {
    member->phase = MemberPhase::kThrottled;
    member->held_since = m_deps.clock.Now();
    m_deps.fleet.AddTask(member->worker, run_id);
    if (!m_deps.fleet.Owns(member->worker)) {
      StopMember(*run, *member);
      return;
    }
    Advance(*run);
    return;
  }
  const base::Error& error = base::GetError(result);
  if (NeverSent(error)) {
    member->phase = MemberPhase::kIdle;
    return;
  }
  member->detail = error.message;
  if (error.code == base::ErrorCode::kUnknown) {
    HoldLateStart(*run, *member);
  }
  if (error.code == base::ErrorCode::kUnknown ||
      error.code == base::ErrorCode::kConflict) {
    StopMember(*run, *member);
    return;
  }
  member->phase = MemberPhase::kNotRun;
  m_listener.OnMemberFailed(*run, *member);
  NoteSettled(*run, *member);
  Advance(*run);
}

void RunController::ReleaseMembers(TaskRun& run) {
  for (MemberRun& member : run.members) {
    const platform::Vm* vm = m_deps.fleet.FindVm(member.worker);
    if (member.phase != MemberPhase::kThrottled || vm == nullptr ||
        !m_deps.fleet.Owns(member.worker)) {
      continue;
    }
    member.sent = m_deps.clock.Now();
    const bool queued =
        m_deps.workers.Release(vm->address, member.run_id,
                               [this, run_id = member.run_id](auto result) {
                                 m_deps.mailbox.Push([this, run_id, result] {
                                   OnReleaseAnswer(run_id, result);
                                 });
                               });
    if (queued) {
      member.phase = MemberPhase::kReleasing;
      member.may_be_released = true;
    }
  }
}

void RunController::OnReleaseAnswer(const std::string& run_id,
                                    const base::Outcome<base::Unit>& result) {
  const auto [run, member] = FindMember(run_id);
  if (member == nullptr || member->phase != MemberPhase::kReleasing) {
    return;
  }
  if (base::Ok(result)) {
    member->phase = MemberPhase::kRunning;
    member->running_since = m_deps.clock.Now();
    m_starts.Add(1);
    Advance(*run);
    return;
  }
  const base::Error& error = base::GetError(result);
  if (NeverSent(error)) {
    member->phase = MemberPhase::kThrottled;
  } else if (error.code == base::ErrorCode::kNotFound) {
    member->phase = MemberPhase::kUnsettled;  // A report tells what became.
  }
  // Otherwise Tick() sends it again: a second release has no effect.
}

void RunController::StopMembers(TaskRun& run) {
  if (run.moving && run.checkpoint.empty() && !run.non_idempotent) {
    TakeCheckpoint(run);
    if (run.checkpoint.empty()) {
      return;
    }
  }
  for (MemberRun& member : run.members) {
    if (member.phase == MemberPhase::kIdle) {
      member.phase = MemberPhase::kNotRun;
      NoteSettled(run, member);
    } else if (member.phase == MemberPhase::kThrottled ||
               member.phase == MemberPhase::kReleasing ||
               member.phase == MemberPhase::kRunning) {
      StopMember(run, member);
    }
  }
  const bool settled = std::ranges::all_of(run.members, IsSettled);
  if (settled) {
    Advance(run);
  }
}

void RunController::StopMember(TaskRun& run, MemberRun& member) {
  const platform::Vm* vm = m_deps.fleet.FindVm(member.worker);
  if (vm == nullptr) {
    return;
  }
  m_busy.insert(run.id);
  member.phase = MemberPhase::kStopping;
  member.sent = m_deps.clock.Now();
  m_deps.workers.Stop(
      vm->address, member.run_id, [this, run_id = member.run_id](auto result) {
        m_deps.mailbox.Push(
            [this, run_id, result] { OnStopAnswer(run_id, result); });
      });
}

void RunController::OnStopAnswer(
    const std::string& run_id,
    const base::Outcome<platform::WorkerStop>& result) {
  const auto [run, member] = FindMember(run_id);
  if (member == nullptr || member->phase != MemberPhase::kStopping ||
      !base::Ok(result)) {
    return;  // Tick() sends it again.
  }
  SettleFromStop(*member, base::Value(result));
  if (IsSettled(*member)) {
    NoteSettled(*run, *member);
  }
  Advance(*run);
}

void RunController::TakeCheckpoint(TaskRun& run) {
  const MemberRun& member = run.members.front();
  const platform::Vm* vm = m_deps.fleet.FindVm(member.worker);
  run.retry_at = m_deps.clock.Now() + m_options.call_timeout;
  if (vm == nullptr) {
    return;
  }
  m_deps.workers.Checkpoint(
      vm->address, member.run_id,
      [this, id = run.id, attempt = run.attempt](auto result) {
        m_deps.mailbox.Push(
            [this, id, attempt, result] { OnCheckpoint(id, attempt, result); });
      });
}

void RunController::OnCheckpoint(const std::string& id,
                                 uint64_t attempt,
                                 const base::Outcome<std::string>& result) {
  const auto found = m_runs.find(id);
  if (found == m_runs.end() || found->second.attempt != attempt ||
      !base::Ok(result)) {
    return;
  }
  found->second.checkpoint = base::Value(result);
  found->second.retry_at = {};
  Advance(found->second);
}

void RunController::Record(TaskRun& run,
                           wire::EntryKind kind,
                           std::string payload) {
  const base::MonoTime deadline =
      m_deps.clock.Now() + m_options.append_deadline;
  run.append_pending = m_deps.log.Append(
      kind, std::move(payload), deadline,
      [this, id = run.id, attempt = run.attempt, kind](const auto& result) {
        m_deps.mailbox.Push([this, id, attempt, kind, seen = base::Ok(result)] {
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

void RunController::HoldLateStart(const TaskRun& run, const MemberRun& member) {
  const auto owned = m_owned.find(member.worker);
  if (owned != m_owned.end()) {
    owned->second.late_starts.push_back(
        {m_deps.clock.Now() + m_options.late_start_hold, run.size});
  }
}

// The last guard before a start. Bindings of an earlier owner were made without
// knowledge of what came after.
bool RunController::HasRoomFor(const std::string& worker) const {
  const platform::Vm* vm = m_deps.fleet.FindVm(worker);
  if (vm == nullptr) {
    return false;
  }
  const placement::Resources capacity{vm->cpu_millis, vm->memory_mb,
                                      vm->accelerators};
  return placement::Fits(placement::UsedResources(UsageOf(worker), capacity),
                         capacity);
}

void RunController::Tick() {
  SweepRemovedWorkers();
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

// Takes up what was not answered in time.
void RunController::RetryCalls(TaskRun& run) {
  const base::MonoTime now = m_deps.clock.Now();
  for (MemberRun& member : run.members) {
    const bool late = now >= member.sent + m_options.call_timeout;
    const bool due = now >= member.sent + m_options.call_retry;
    if (member.intent_pending && late) {
      member.intent_pending = false;
    }
    if (member.phase == MemberPhase::kStarting && late) {
      HoldLateStart(run, member);
      StopMember(run, member);
    } else if (member.phase == MemberPhase::kStopping && due) {
      StopMember(run, member);
    } else if (member.phase == MemberPhase::kReleasing && due) {
      member.phase = MemberPhase::kThrottled;
    }
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
  std::unordered_map<std::string_view, const platform::WorkerTask*> held;
  for (const platform::WorkerTask& entry : found->second.report.tasks) {
    if (entry.state == platform::WorkerTaskState::kRunning ||
        entry.state == platform::WorkerTaskState::kThrottled) {
      held.emplace(entry.id, &entry);
      usage.reported = placement::Add(
          usage.reported,
          {entry.cpu_millis, entry.memory_mb, entry.accelerators});
    }
  }
  for (const LateStart& late : found->second.late_starts) {
    if (m_deps.clock.Now() < late.until) {
      usage.bound = placement::Add(usage.bound, late.size);
      usage.unseen = placement::Add(usage.unseen, late.size);
    }
  }
  for (const TaskRun* run : RunsOn(worker)) {
    for (const MemberRun& member : run->members) {
      if (member.worker != worker || IsSettled(member)) {
        continue;
      }
      usage.bound = placement::Add(usage.bound, run->size);
      if (!held.contains(member.run_id)) {
        usage.unseen = placement::Add(usage.unseen, run->size);
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

const platform::WorkerTask* RunController::FindReported(
    const std::string& worker,
    const std::string& run_id) const {
  const auto found = m_owned.find(worker);
  if (found == m_owned.end()) {
    return nullptr;
  }
  const auto& tasks = found->second.report.tasks;
  const auto entry =
      std::ranges::find(tasks, run_id, &platform::WorkerTask::id);
  return entry == tasks.end() ? nullptr : &*entry;
}

}  // namespace azurespur::control
