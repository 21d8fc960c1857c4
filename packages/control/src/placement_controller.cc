#include "control/placement_controller.h"

#include <algorithm>
#include <utility>

#include "base/event_log.h"
#include "base/metrics.h"
#include "control/lists_view.h"
#include "control/log_channel.h"
#include "control/run_controller.h"
#include "control/task_ledger.h"
#include "control/task_records.h"
#include "control/worker_fleet.h"
#include "wire/codec.h"

namespace azurespur::control {

namespace {

placement::TaskClass ToTaskClass(TaskKind kind) {
  switch (kind) {
    case TaskKind::kBatch:
      return placement::TaskClass::kBatch;
    case TaskKind::kService:
      return placement::TaskClass::kService;
    case TaskKind::kGang:
      return placement::TaskClass::kGang;
  }
  return placement::TaskClass::kBatch;
}

placement::TaskDemand ToDemand(const TaskState& task) {
  const TaskSpec& spec = task.spec;
  placement::TaskDemand demand;
  demand.id = spec.id;
  demand.plan = spec.plan;
  demand.job = spec.name;
  demand.task_class = ToTaskClass(spec.kind);
  demand.gang_size = spec.members;
  demand.size = {spec.cpu_millis, spec.memory_mb, spec.accelerators};
  demand.rack_spread = spec.rack_limit;
  demand.urgent = spec.urgent;
  demand.expected_run_ms = spec.expected_ms;
  demand.submitted_ms = task.accepted_ms;
  return demand;
}

}  // namespace

PlacementController::PlacementController(
    const PlacementControllerDeps& deps,
    const PlacementControllerOptions& options)
    : m_deps(deps),
      m_options(options),
      m_binds(deps.metrics.GetCounter("azurespur_task_binds_total")),
      m_pending_gauge(deps.metrics.GetCounter("azurespur_tasks_pending")),
      m_decision_us(deps.metrics.GetDistribution("azurespur_decision_us")) {}

void PlacementController::OnWorkerChanged(const std::string& worker) {
  m_stale_workers.insert(worker);
}

void PlacementController::OnMemberFailed(const TaskRun&, const MemberRun&) {}

void PlacementController::OnMemberFinished(const TaskRun&, const MemberRun&) {}

void PlacementController::OnTaskChanged(const TaskState& task) {
  const std::string& id = task.spec.id;
  const bool pending = task.phase == TaskPhase::kAccepted &&
                       task.domain == m_deps.identity.domain;
  if (!pending) {
    OnTaskGone(id);
    return;
  }
  const Key key{!task.spec.urgent, task.accepted_ms, id};
  m_pending[id].key = key;
  m_queue[key] = id;
  m_room_changed = true;
}

void PlacementController::OnTaskGone(const std::string& id) {
  const auto found = m_pending.find(id);
  if (found == m_pending.end()) {
    return;
  }
  m_queue.erase(found->second.key);
  m_pending.erase(found);
}

void PlacementController::UpdateCell(const std::string& worker) {
  const platform::Vm* vm = m_deps.fleet.FindVm(worker);
  if (vm == nullptr || m_deps.fleet.MarkerOf(worker).empty()) {
    m_cell.RemoveWorker(worker);
    return;
  }
  placement::WorkerState state;
  state.id = worker;
  state.rack = vm->rack;
  state.condition = vm->leaving ? placement::WorkerCondition::kLeaving
                                : placement::WorkerCondition::kLive;
  state.capacity = {vm->cpu_millis, vm->memory_mb, vm->accelerators};
  placement::WorkerUsage usage = m_runs->UsageOf(worker);
  for (const auto& [id, binding] : m_bindings) {
    for (const std::string& place : binding.placement.workers) {
      if (place == worker) {
        usage.bound = placement::Add(usage.bound, binding.size);
        usage.unseen = placement::Add(usage.unseen, binding.size);
      }
    }
  }
  state.used = placement::UsedResources(usage, state.capacity);
  m_cell.UpdateWorker(state);
}

void PlacementController::Tick() {
  for (const std::string& worker : m_stale_workers) {
    UpdateCell(worker);
    m_room_changed = true;
  }
  m_stale_workers.clear();
  m_pending_gauge.Set(static_cast<int64_t>(m_pending.size()));
  const base::MonoTime now = m_deps.clock.Now();
  if (!m_room_changed && now < m_last_round + m_options.retry_interval) {
    return;
  }
  m_last_round = now;
  m_room_changed = false;
  size_t decisions = 0;
  std::vector<std::string> ids;
  for (const auto& [key, id] : m_queue) {
    if (!m_bindings.contains(id)) {
      ids.push_back(id);
    }
    if (++decisions >= m_options.max_decisions_per_tick) {
      break;
    }
  }
  for (const std::string& id : ids) {
    if (const auto task = m_deps.ledger.Find(id)) {
      Place(*task);
    }
  }
}

void PlacementController::Place(const TaskState& task) {
  Pending& pending = m_pending[task.spec.id];
  pending.reason = QuotaRefusal(task.spec);
  if (!pending.reason.empty()) {
    return;
  }
  const base::MonoTime start = m_deps.clock.Now();
  placement::Decision decision = m_cell.Place(ToDemand(task));
  const base::Micros took = m_deps.clock.Now() - start;
  m_decision_us.Observe(static_cast<double>(took.count()));
  if (const auto* refusal = std::get_if<placement::Refusal>(&decision)) {
    pending.reason = refusal->reason;
    return;
  }
  Bind(task, std::get<placement::Placement>(std::move(decision)));
}

void PlacementController::Bind(const TaskState& task,
                               placement::Placement placement) {
  const placement::Resources size{task.spec.cpu_millis, task.spec.memory_mb,
                                  task.spec.accelerators};
  TaskBind bind{task.spec.id, task.version, task.domain, {}};
  for (const std::string& worker : placement.workers) {
    TaskPlace place = m_deps.fleet.PlaceOn(worker);
    if (place.marker.empty()) {
      return;
    }
    bind.places.push_back(std::move(place));
  }
  const bool queued =
      m_deps.log.Append(wire::EntryKind::kTaskBind, wire::Encode(bind),
                        m_deps.clock.Now() + m_options.append_deadline,
                        [this, id = task.spec.id](const auto&) {
                          m_deps.mailbox.Push([this, id] { OnBound(id); });
                        });
  if (!queued) {
    m_pending[task.spec.id].reason = "the log's queue is full";
    return;
  }
  m_binds.Add(1);
  m_cell.Reserve(placement, size);
  m_bindings[task.spec.id] = {std::move(placement), size};
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
  if (const auto task = m_deps.ledger.Find(id)) {
    m_runs->OnTaskChanged(*task);
    OnTaskChanged(*task);
  }
  m_stale_workers.insert(workers.begin(), workers.end());
}

std::string PlacementController::QuotaRefusal(const TaskSpec& spec) const {
  const auto lists = m_deps.lists.Current();
  const Plan* plan = FindPlan(*lists, spec.plan);
  if (plan == nullptr) {
    return "plan \"" + spec.plan + "\" is not in the list";
  }
  const Allowance* allowance = FindAllowance(*lists, *plan);
  if (allowance == nullptr) {
    return "allowance \"" + plan->allowance + "\" is not in the list";
  }
  return {};
}

std::string PlacementController::WaitReason(const std::string& id) const {
  const auto found = m_pending.find(id);
  return found == m_pending.end() ? std::string() : found->second.reason;
}

}  // namespace azurespur::control
