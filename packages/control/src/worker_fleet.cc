#include "control/worker_fleet.h"

#include <algorithm>
#include <set>
#include <utility>

#include "base/event_log.h"
#include "base/metrics.h"
#include "control/fleet_listener.h"
#include "control/peer_bus.h"
#include "control/vm_directory.h"

namespace azurespur::control {

namespace {

LeaseAnswer ToLeaseAnswer(const base::Outcome<base::Unit>& result) {
  if (base::Ok(result)) {
    return LeaseAnswer::kGranted;
  }
  const base::ErrorCode code = base::GetError(result).code;
  return code == base::ErrorCode::kUnknown ? LeaseAnswer::kUnanswered
                                           : LeaseAnswer::kGone;
}

// Reports of a worker that another VM owns are read this much more rarely.
constexpr int kStandbyPollFactor = 5;

bool RunsNow(const services::WorkerTask& task) {
  return task.state == services::WorkerTaskState::kRunning ||
         task.state == services::WorkerTaskState::kThrottled;
}

}  // namespace

size_t SeekRank(size_t rank, size_t rack, size_t owners_per_domain) {
  if (rank >= owners_per_domain) {
    return rank;
  }
  const size_t turn = rack % owners_per_domain;
  return (rank + owners_per_domain - turn) % owners_per_domain;
}

WorkerFleet::WorkerFleet(const WorkerFleetDeps& deps,
                         const WorkerFleetOptions& options,
                         FleetListener& listener)
    : m_deps(deps),
      m_options(options),
      m_listener(listener),
      m_owned_gauge(deps.metrics.GetCounter("azurespur_workers_owned")),
      m_takeovers(deps.metrics.GetCounter("azurespur_worker_takeovers_total")),
      m_losses(deps.metrics.GetCounter("azurespur_worker_losses_total")) {}

void WorkerFleet::Tick() {
  SyncList();
  const size_t rank = m_deps.peers.RankInDomain();
  for (auto& [id, worker] : m_workers) {
    TickWorker(worker, rank);
  }
}

void WorkerFleet::SyncList() {
  // Before the list is taken: it is at least as new.
  m_list_read_at =
      m_deps.clock.Now() - base::Millis(m_deps.directory.SilentMillis());
  const auto list = m_deps.directory.Current();
  if (list->version == 0 || list->version == m_list_version) {
    return;
  }
  m_list_version = list->version;
  std::set<std::string> racks;
  std::set<std::string, std::less<>> listed;
  for (const services::Vm& vm : list->vms) {
    if (vm.kind == services::VmKind::kWorker &&
        vm.domain == m_deps.identity.domain) {
      racks.insert(vm.rack);
      listed.insert(vm.id);
    }
  }
  for (const services::Vm& vm : list->vms) {
    if (!listed.contains(vm.id)) {
      continue;
    }
    Worker& worker = m_workers[vm.id];
    worker.vm = vm;
    worker.rack = std::distance(racks.begin(), racks.find(vm.rack));
    if (worker.ownership.candidate.empty()) {
      worker.ownership.candidate = m_deps.identity.vm + "~" +
                                   std::to_string(m_deps.identity.incarnation);
      worker.ownership.attempt = m_attempts;
    }
  }
  std::vector<std::string> removed;
  for (auto& [id, worker] : m_workers) {
    if (!listed.contains(id)) {
      removed.push_back(id);
    }
  }
  for (const std::string& id : removed) {
    const auto found = m_workers.find(id);
    const std::string boot = found->second.ownership.boot;
    const bool owned = OwnsWorker(found->second.ownership, m_deps.clock.Now());
    m_attempts = std::max(m_attempts, found->second.ownership.attempt);
    m_workers.erase(found);
    m_listener.OnWorkerRemoved(id, boot, owned);
  }
}

void WorkerFleet::TickWorker(Worker& worker, size_t rank) {
  const base::MonoTime now = m_deps.clock.Now();
  worker.seek_rank = SeekRank(rank, worker.rack, m_options.owners_per_domain);
  Act(worker, OnOwnershipTick(worker.ownership, m_options.ownership, m_seeking,
                              worker.seek_rank, now));
  if (OwnsWorker(worker.ownership, now) && !worker.tasks.empty() &&
      now >= worker.tasks_renew_sent + m_options.task_renew_interval) {
    RenewTasks(worker, {worker.tasks.begin(), worker.tasks.end()}, true);
  }
  PollReport(worker);
}

// True if the owner, by the newest report, has missed a renewal.
bool WorkerFleet::OwnerIsSilent(const Worker& worker) const {
  const OwnershipOptions& rules = m_options.ownership;
  const base::Millis renewed = rules.lease - rules.renew_interval * 3 / 2;
  return worker.any_report && worker.marker_left_ms < renewed.count();
}

base::Millis WorkerFleet::PollInterval(const Worker& worker) const {
  switch (worker.ownership.phase) {
    case OwnershipPhase::kStarting:
    case OwnershipPhase::kSettling:
      return m_options.seek_report_interval;
    case OwnershipPhase::kOwned:
      return m_options.report_interval;
    case OwnershipPhase::kIdle:
      break;
  }
  if (worker.seek_rank == 0 && OwnerIsSilent(worker)) {
    return m_options.seek_report_interval;
  }
  // Another VM owns it, or will. A suspected owner raises this VM's rank.
  const bool standby = worker.seek_rank > 0 && !worker.ownership.seen_free;
  return standby ? m_options.report_interval * kStandbyPollFactor
                 : m_options.report_interval;
}

void WorkerFleet::PollReport(Worker& worker) {
  const base::MonoTime now = m_deps.clock.Now();
  const base::Millis wait =
      worker.report_pending ? m_options.call_timeout : PollInterval(worker);
  if (now < worker.report_sent + wait) {
    return;
  }
  worker.report_sent = now;
  worker.report_pending = m_deps.workers.Report(
      worker.vm.address, [this, box = m_deps.mailbox, id = worker.vm.id,
                          now](auto result) mutable {
        box->Push([this, id = std::move(id), now,
                   result = std::move(result)]() mutable {
          OnReport(id, now, std::move(result));
        });
      });
}

void WorkerFleet::OnReport(const std::string& id,
                           base::MonoTime sent,
                           base::Outcome<services::WorkerReport> result) {
  Worker* worker = Find(id);
  if (worker == nullptr || worker->report_sent != sent) {
    return;  // Reports must stay in order: only the newest call counts.
  }
  worker->report_pending = false;
  if (!base::Ok(result)) {
    return;
  }
  const services::WorkerReport& report = base::Value(result);
  const bool repeated = worker->ownership.boot == report.boot &&
                        report.made_ms <= worker->ownership.made_ms;
  if (repeated) {
    return;
  }
  worker->any_report = true;
  worker->report_received = m_deps.clock.Now();
  AdvanceOwnership(*worker, report);
  KeepTasksAlive(*worker, report);
}

void WorkerFleet::AdvanceOwnership(Worker& worker,
                                   const services::WorkerReport& report) {
  std::vector<std::string_view> markers;
  worker.marker_left_ms = 0;
  for (const services::WorkerTask& task : report.tasks) {
    if (RunsNow(task) && IsOwnershipMarker(task.id)) {
      markers.push_back(task.id);
      worker.marker_left_ms =
          std::max(worker.marker_left_ms, task.lease_left_ms);
    }
  }
  const OwnershipStep step = OnOwnershipReport(
      worker.ownership, m_options.ownership,
      {report.boot, report.made_ms, markers}, m_deps.clock.Now());
  Act(worker, step);
  if (step.owned) {
    m_takeovers.Add(1);
    m_owned_gauge.Add(1);
    base::LogEvent(
        base::Severity::kInfo, "AZ5001", "worker owned",
        {{"worker", worker.vm.id}, {"marker", worker.ownership.marker}});
    worker.tasks_renew_sent = {};
    m_listener.OnWorkerOwned(worker.vm.id, report);
  } else if (worker.ownership.phase == OwnershipPhase::kOwned) {
    m_listener.OnWorkerReport(worker.vm.id, report);
  }
}

// While ownership changes hands, the tasks on the worker must not lapse. To
// renew a task decides nothing about it.
void WorkerFleet::KeepTasksAlive(Worker& worker,
                                 const services::WorkerReport& report) {
  const OwnershipPhase phase = worker.ownership.phase;
  if (phase != OwnershipPhase::kStarting &&
      phase != OwnershipPhase::kSettling) {
    return;
  }
  std::vector<std::string> ids;
  for (const services::WorkerTask& task : report.tasks) {
    if (RunsNow(task) && !IsOwnershipMarker(task.id) &&
        task.lease_left_ms < m_options.task_lease.count() / 2) {
      ids.push_back(task.id);
    }
  }
  if (!ids.empty()) {
    RenewTasks(worker, std::move(ids), false);
  }
}

void WorkerFleet::Act(Worker& worker, const OwnershipStep& step) {
  if (step.lost) {
    Lose(worker);
  }
  if (step.stop) {
    StopMarker(worker, *step.stop);
  }
  if (step.start) {
    StartMarker(worker, *step.start);
  }
  if (step.renew) {
    RenewMarker(worker, *step.renew);
  }
}

void WorkerFleet::StartMarker(Worker& worker, const std::string& marker) {
  services::WorkerStart start;
  start.id = marker;
  start.lease = m_options.ownership.lease;
  const base::MonoTime sent = m_deps.clock.Now();
  const auto done = [this, box = m_deps.mailbox, id = worker.vm.id, marker,
                     sent](auto result) {
    box->Push([this, id, marker, sent, result] {
      if (Worker* found = Find(id)) {
        Act(*found, OnMarkerStartAnswer(found->ownership, m_options.ownership,
                                        marker, ToLeaseAnswer(result), sent,
                                        m_deps.clock.Now()));
      }
    });
  };
  if (!m_deps.workers.Start(worker.vm.address, std::move(start), done)) {
    Act(worker, OnMarkerStartAnswer(worker.ownership, m_options.ownership,
                                    marker, LeaseAnswer::kGone, sent, sent));
  }
}

void WorkerFleet::RenewMarker(Worker& worker, const std::string& marker) {
  const base::MonoTime sent = m_deps.clock.Now();
  const auto done = [this, box = m_deps.mailbox, id = worker.vm.id, marker,
                     sent](auto result) {
    box->Push([this, id, marker, sent, result] {
      Worker* found = Find(id);
      if (found == nullptr || !base::Ok(result)) {
        return;
      }
      const LeaseAnswer answer = base::Value(result).empty()
                                     ? LeaseAnswer::kGranted
                                     : LeaseAnswer::kGone;
      Act(*found,
          OnMarkerRenewAnswer(found->ownership, m_options.ownership, marker,
                              answer, sent, m_deps.clock.Now()));
    });
  };
  m_deps.workers.Renew(worker.vm.address, m_options.ownership.lease, {marker},
                       done);
}

void WorkerFleet::RenewTasks(Worker& worker,
                             std::vector<std::string> ids,
                             bool owner) {
  const base::MonoTime sent = m_deps.clock.Now();
  worker.tasks_renew_sent = sent;
  const auto done = [this, box = m_deps.mailbox, id = worker.vm.id, owner,
                     sent](auto result) {
    if (!owner || !base::Ok(result) || base::Value(result).empty()) {
      return;
    }
    box->Push([this, id, sent, result] {
      if (Owns(id)) {
        m_listener.OnNotRunning(id, base::Value(result), sent);
      }
    });
  };
  m_deps.workers.Renew(worker.vm.address, m_options.task_lease, std::move(ids),
                       done);
}

void WorkerFleet::StopMarker(Worker& worker, const std::string& marker) {
  m_deps.workers.Stop(worker.vm.address, marker, [](auto) {});
}

void WorkerFleet::Lose(Worker& worker) {
  m_losses.Add(1);
  m_owned_gauge.Add(-1);
  worker.tasks.clear();
  base::LogEvent(base::Severity::kWarning, "AZ5002", "worker lost",
                 {{"worker", worker.vm.id}});
  m_listener.OnWorkerLost(worker.vm.id);
}

bool WorkerFleet::Owns(std::string_view id) const {
  const Worker* worker = Find(id);
  return worker != nullptr && OwnsWorker(worker->ownership, m_deps.clock.Now());
}

const services::Vm* WorkerFleet::FindVm(std::string_view id) const {
  const Worker* worker = Find(id);
  return worker == nullptr ? nullptr : &worker->vm;
}

std::string WorkerFleet::MarkerOf(std::string_view id) const {
  const Worker* worker = Find(id);
  if (worker == nullptr || worker->ownership.phase != OwnershipPhase::kOwned) {
    return {};
  }
  return worker->ownership.marker;
}

TaskPlace WorkerFleet::PlaceOn(std::string_view id) const {
  if (!Owns(id)) {
    return {};
  }
  const OwnershipState& ownership = Find(id)->ownership;
  return {std::string(id), ownership.marker, ownership.boot, ownership.made_ms};
}

int64_t WorkerFleet::ReportAgeMillis(std::string_view id) const {
  const Worker* worker = Find(id);
  if (worker == nullptr || !worker->any_report) {
    return -1;
  }
  return base::MillisBetween(worker->report_received, m_deps.clock.Now());
}

std::vector<std::string> WorkerFleet::OwnedWorkers() const {
  std::vector<std::string> owned;
  for (const auto& [id, worker] : m_workers) {
    if (worker.ownership.phase == OwnershipPhase::kOwned) {
      owned.push_back(id);
    }
  }
  return owned;
}

void WorkerFleet::AddTask(std::string_view id, const std::string& task) {
  if (Worker* worker = Find(id)) {
    worker->tasks.insert(task);
  }
}

void WorkerFleet::RemoveTask(std::string_view id, const std::string& task) {
  if (Worker* worker = Find(id)) {
    worker->tasks.erase(task);
  }
}

void WorkerFleet::Yield(const std::string& id) {
  Worker* worker = Find(id);
  if (worker == nullptr || worker->ownership.phase != OwnershipPhase::kOwned ||
      m_deps.peers.RankInDomain() == 0) {
    return;
  }
  const base::MonoTime now = m_deps.clock.Now();
  Act(*worker, ResignOwnership(worker->ownership, now));
  worker->ownership.retry_at = now + m_options.ownership.lease * 2;
}

void WorkerFleet::Resign() {
  m_seeking = false;
  for (auto& [id, worker] : m_workers) {
    if (worker.ownership.phase != OwnershipPhase::kIdle) {
      Act(worker, ResignOwnership(worker.ownership, m_deps.clock.Now()));
    }
  }
}

std::vector<FleetWorkerView> WorkerFleet::View() const {
  std::vector<FleetWorkerView> views;
  const base::MonoTime now = m_deps.clock.Now();
  for (const auto& [id, worker] : m_workers) {
    FleetWorkerView view;
    view.id = id;
    view.phase = worker.ownership.phase;
    view.marker = worker.ownership.marker;
    view.lease_left_ms = std::max<int64_t>(
        0, base::MillisBetween(now, worker.ownership.valid_until));
    view.report_age_ms = ReportAgeMillis(id);
    view.tasks = worker.tasks.size();
    view.leaving = worker.vm.leaving;
    views.push_back(std::move(view));
  }
  return views;
}

WorkerFleet::Worker* WorkerFleet::Find(std::string_view id) {
  const auto found = m_workers.find(id);
  return found == m_workers.end() ? nullptr : &found->second;
}

const WorkerFleet::Worker* WorkerFleet::Find(std::string_view id) const {
  const auto found = m_workers.find(id);
  return found == m_workers.end() ? nullptr : &found->second;
}

}  // namespace azurespur::control
