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
                                   const services::WorkerReport& report) {
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

// A throttled task that belongs to no run here was started by an earlier owner
// whose start landed late, or is the rest of an attempt that was given up. It
// does no work and must never.
void RunController::StopLeftovers(const std::string& worker) {
  const services::Vm* vm = m_deps.fleet.FindVm(worker);
  const auto found = m_owned.find(worker);
  if (vm == nullptr || found == m_owned.end()) {
    return;
  }
  for (const services::WorkerTask& entry : found->second.report.tasks) {
    const bool throttled = entry.state == services::WorkerTaskState::kThrottled;
    const bool running = entry.state == services::WorkerTaskState::kRunning;
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
  const services::WorkerTask* entry =
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
