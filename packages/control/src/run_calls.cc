// The messages of RunController to workers, and their answers.

#include "control/run_controller.h"

#include <algorithm>
#include <utility>

#include "base/metrics.h"
#include "control/run_listener.h"
#include "control/task_ledger.h"

namespace azurespur::control {

namespace {

bool NeverSent(const base::Error& error) {
  return error.code == base::ErrorCode::kUnavailable;
}

}  // namespace

// Returns true once every member has its intent.
bool RunController::WriteIntents(TaskRun& run) {
  if (!run.non_idempotent) {
    return true;
  }
  bool written = true;
  for (MemberRun& member : run.members) {
    if (member.gone) {
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
  const services::Vm* vm = m_deps.fleet.FindVm(member.worker);
  if (vm == nullptr || !m_deps.fleet.Owns(member.worker)) {
    return;
  }
  (void)run;
  services::WorkerStart start;
  start.id = IntentId(member.run_id);
  start.lease = m_options.intent_lease;
  member.sent = m_deps.clock.Now();
  member.intent_pending = m_deps.workers.Start(
      vm->address, std::move(start),
      [this, box = m_deps.mailbox, run_id = member.run_id](auto result) {
        box->Push([this, run_id, result] { OnIntentAnswer(run_id, result); });
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
  const services::Vm* vm = m_deps.fleet.FindVm(member.worker);
  if (vm == nullptr || !m_deps.fleet.Owns(member.worker)) {
    return;
  }
  services::WorkerStart start;
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
  const bool queued = m_deps.workers.Start(
      vm->address, std::move(start),
      [this, box = m_deps.mailbox, run_id = member.run_id](auto result) {
        box->Push([this, run_id, result] { OnStartAnswer(run_id, result); });
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
    const services::Vm* vm = m_deps.fleet.FindVm(member.worker);
    if (member.phase != MemberPhase::kThrottled || vm == nullptr ||
        !m_deps.fleet.Owns(member.worker)) {
      continue;
    }
    member.sent = m_deps.clock.Now();
    const bool queued = m_deps.workers.Release(
        vm->address, member.run_id,
        [this, box = m_deps.mailbox, run_id = member.run_id](auto result) {
          box->Push(
              [this, run_id, result] { OnReleaseAnswer(run_id, result); });
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
  const services::Vm* vm = m_deps.fleet.FindVm(member.worker);
  if (vm == nullptr) {
    return;
  }
  m_busy.insert(run.id);
  member.phase = MemberPhase::kStopping;
  member.sent = m_deps.clock.Now();
  m_deps.workers.Stop(
      vm->address, member.run_id,
      [this, box = m_deps.mailbox, run_id = member.run_id](auto result) {
        box->Push([this, run_id, result] { OnStopAnswer(run_id, result); });
      });
}

void RunController::OnStopAnswer(
    const std::string& run_id,
    const base::Outcome<services::WorkerStop>& result) {
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
  const services::Vm* vm = m_deps.fleet.FindVm(member.worker);
  run.retry_at = m_deps.clock.Now() + m_options.call_timeout;
  if (vm == nullptr) {
    return;
  }
  m_deps.workers.Checkpoint(vm->address, member.run_id,
                            [this, box = m_deps.mailbox, id = run.id,
                             attempt = run.attempt](auto result) {
                              box->Push([this, id, attempt, result] {
                                OnCheckpoint(id, attempt, result);
                              });
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

void RunController::HoldLateStart(const TaskRun& run, const MemberRun& member) {
  m_late_starts[member.worker].push_back(
      {member.run_id, m_deps.clock.Now() + m_options.late_start_hold,
       run.size});
}

// Its owner holds the room, and may be gone before the start lands.
void RunController::OnGivenUp(UnstartedBinding binding) {
  if (binding.marker != m_deps.fleet.MarkerOf(binding.worker)) {
    m_late_starts[binding.worker].push_back(
        {std::move(binding.run_id),
         m_deps.clock.Now() + m_options.late_start_hold, binding.size,
         binding.given_up_ms});
  }
}

// A process that reads old records reads newer ones soon after.
bool RunController::MayLand(const LateStart& late) const {
  const int64_t log_ms = m_deps.ledger.LogTime();
  return m_deps.clock.Now() < late.until &&
         (late.given_up_ms < 0 ||
          log_ms < late.given_up_ms + m_options.late_start_hold.count());
}

void RunController::ForgetLateStarts() {
  for (auto& [worker, starts] : m_late_starts) {
    std::erase_if(starts,
                  [this](const LateStart& late) { return !MayLand(late); });
  }
  std::erase_if(m_late_starts,
                [](const auto& item) { return item.second.empty(); });
}

// The last guard before a start. Bindings of an earlier owner were made without
// knowledge of what came after.
bool RunController::HasRoomFor(const std::string& worker) const {
  const services::Vm* vm = m_deps.fleet.FindVm(worker);
  if (vm == nullptr) {
    return false;
  }
  const placement::Resources capacity{vm->cpu_millis, vm->memory_mb,
                                      vm->accelerators};
  return placement::Fits(placement::UsedResources(UsageOf(worker), capacity),
                         capacity);
}

// Takes up what was not answered in time.
void RunController::RetryCalls(TaskRun& run) {
  const base::MonoTime now = m_deps.clock.Now();
  if (run.append_pending &&
      now >= run.append_sent + m_options.append_deadline * 2) {
    run.append_pending = false;
  }
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

}  // namespace azurespur::control
