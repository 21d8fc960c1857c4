// What RunController makes of reports, and of workers owned, lost and gone.

#include "control/run_controller.h"

#include <algorithm>
#include <utility>

#include "base/metrics.h"
#include "control/run_listener.h"
#include "control/task_ledger.h"

namespace azurespur::control {

void RunController::OnWorkerOwned(const std::string& worker,
                                  const services::WorkerReport& report) {
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

// Another VM that has not read the list yet may believe in its ownership for a
// lease, and use it if the worker comes back within that time.
void RunController::OnWorkerRemoved(const std::string& worker,
                                    const std::string& boot,
                                    bool owned) {
  if (!boot.empty()) {
    m_gone[worker][boot] = owned
                               ? base::MonoTime{}
                               : m_deps.clock.Now() + m_deps.fleet.OwnerLease();
  }
  OnWorkerLost(worker);
  m_swept_at = {};
}

// Gives up what was bound to boots that are over.
void RunController::SweepRemovedWorkers() {
  constexpr base::Millis kSweepInterval{1000};
  const base::MonoTime now = m_deps.clock.Now();
  if (now < m_swept_at + kSweepInterval || !m_deps.fleet.ListKnown()) {
    return;
  }
  m_swept_at = now;
  std::erase_if(m_gone, [this](const auto& item) {
    return m_deps.fleet.FindVm(item.first) != nullptr;
  });
  for (const std::string& worker :
       m_deps.ledger.BoundWorkers(m_deps.identity.domain)) {
    if (m_deps.fleet.FindVm(worker) != nullptr) {
      continue;
    }
    for (const std::string& id : m_deps.ledger.BoundTo(worker)) {
      const auto task = m_deps.ledger.Find(id);
      for (size_t i = 0; task && i < task->places.size(); ++i) {
        if (task->places[i].worker != worker) {
          continue;
        }
        NoteAbsence(task->places[i]);
        if (IsGone(*task, i)) {
          OnTaskChanged(*task);
          break;
        }
      }
    }
  }
}

// A process that started after the worker left the VM list never saw it there,
// and one whose list is old does not see a new worker or boot.
void RunController::NoteAbsence(const TaskPlace& place) {
  m_gone[place.worker].try_emplace(
      place.boot, m_deps.clock.Now() + m_options.removal_grace);
}

bool RunController::IsGone(const TaskState& task, size_t i) const {
  const TaskPlace& place = task.places[i];
  const auto worker = m_gone.find(place.worker);
  if (worker == m_gone.end() || task.domain != m_deps.identity.domain ||
      m_deps.fleet.FindVm(place.worker) != nullptr) {
    return false;
  }
  const auto boot = worker->second.find(place.boot);
  return boot != worker->second.end() &&
         m_deps.fleet.ListReadAt() >= boot->second;
}

void RunController::OnWorkerReport(const std::string& worker,
                                   const services::WorkerReport& report) {
  const auto found = m_owned.find(worker);
  if (found == m_owned.end()) {
    return;
  }
  found->second.report = report;
  ApplyReport(worker);
  StopLeftovers(worker);
  m_listener.OnWorkerChanged(worker);
}

void RunController::ApplyReport(const std::string& worker) {
  OwnedWorker& owned = m_owned.at(worker);
  std::unordered_map<std::string_view, const services::WorkerTask*> entries;
  for (const services::WorkerTask& entry : owned.report.tasks) {
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

// A throttled task that belongs to no run here, or to a member that was settled
// without it, was started by an earlier owner whose start landed late, or is
// the rest of an attempt that was given up. It does no work and must never.
// Once it is stopped, reports show that the member did not run.
void RunController::StopLeftovers(const std::string& worker) {
  const services::Vm* vm = m_deps.fleet.FindVm(worker);
  const auto found = m_owned.find(worker);
  if (vm == nullptr || found == m_owned.end()) {
    return;
  }
  for (const services::WorkerTask& entry : found->second.report.tasks) {
    const bool throttled = entry.state == services::WorkerTaskState::kThrottled;
    const bool running = entry.state == services::WorkerTaskState::kRunning;
    const MemberRun* member = FindMember(entry.id).second;
    const bool expected =
        member != nullptr && (!throttled || !IsSettled(*member));
    if ((!throttled && !running) || IsOwnershipMarker(entry.id) ||
        IsIntent(entry.id) || expected) {
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
    const bool gone = IsGone(task, i);
    const bool owned =
        m_owned.contains(member.worker) && m_deps.fleet.Owns(member.worker);
    if (!member.lost || (!gone && !owned)) {
      continue;
    }
    member.lost = false;
    member.gone = gone;
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
  const services::WorkerTask* entry =
      FindReported(member.worker, member.run_id);
  SettleInherited(member, entry, IsUntouched(task, i));
  member.held_since = m_deps.clock.Now();
  if (entry != nullptr) {
    m_adoptions.Add(1);
  } else if (member.phase == MemberPhase::kForgotten && MayStillStart(task)) {
    HoldLateStart(run, member);
  }
}

// True if a start that an earlier owner sent may still be under way.
bool RunController::MayStillStart(const TaskState& task) const {
  const int64_t held_ms = m_deps.ledger.LogTime() - task.ended_ms;
  return task.phase == TaskPhase::kBound ||
         (task.phase == TaskPhase::kMayHaveRun &&
          held_ms < m_options.late_start_hold.count());
}

// True if no earlier owner can have started the member: each would have left
// an intent, and it would still be there.
bool RunController::IsUntouched(const TaskState& task, size_t i) const {
  const TaskPlace& place = task.places[i];
  const auto owned = m_owned.find(place.worker);
  if (owned == m_owned.end()) {
    return false;
  }
  const services::WorkerReport& report = owned->second.report;
  const bool remembers =
      report.boot == place.boot &&
      report.made_ms < place.made_ms + m_options.intent_lease.count();
  const std::string intent =
      IntentId(MemberRunId(task.spec.id, task.attempt, i));
  return task.spec.non_idempotent && task.phase == TaskPhase::kBound &&
         remembers && FindReported(place.worker, intent) == nullptr;
}

const services::WorkerTask* RunController::FindReported(
    const std::string& worker,
    const std::string& run_id) const {
  const auto found = m_owned.find(worker);
  if (found == m_owned.end()) {
    return nullptr;
  }
  const auto& tasks = found->second.report.tasks;
  const auto entry =
      std::ranges::find(tasks, run_id, &services::WorkerTask::id);
  return entry == tasks.end() ? nullptr : &*entry;
}

}  // namespace azurespur::control
