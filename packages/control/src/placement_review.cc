// The parts of PlacementController that look beyond its own domain's cell:
// quotas, and claims that pass between domains.

#include <algorithm>
#include <map>
#include <utility>

#include "base/metrics.h"
#include "control/feasibility.h"
#include "control/lists_view.h"
#include "control/peer_bus.h"
#include "control/placement_controller.h"
#include "control/task_demand.h"
#include "control/task_ledger.h"
#include "control/task_records.h"
#include "control/vm_directory.h"
#include "control/worker_fleet.h"
#include "wire/codec.h"

namespace azurespur::control {

void PlacementController::Review() {
  const auto lists = m_deps.lists.Current();
  SyncAllowances(*lists);
  if (lists->allowances_version != m_allowances_version) {
    m_allowances_version = lists->allowances_version;
    m_scheduler.RetryAwaitingApproval();
    m_changed = true;
  }
  m_health.SetWorkerCount(m_deps.fleet.WorkerCount());
  for (const std::string& worker : m_health.TakeDueProbes(NowMillis())) {
    m_probes.insert(worker);
    m_stale_workers.insert(worker);
  }
  std::erase_if(m_failed_jobs, [this](const auto& item) {
    return item.second <= m_deps.clock.Now();
  });
  ClaimForeignTasks();
  GiveBackOldTasks();
  YieldToGangs();
  DropLostBindings();
  NoteWaitReasons();
  m_pending_gauge.Set(static_cast<int64_t>(m_scheduler.queue().size()));
  m_quarantined_gauge.Set(static_cast<int64_t>(m_health.QuarantinedCount()));
}

// The answer to a record is lost if the mailbox was full.
void PlacementController::DropLostBindings() {
  std::vector<std::string> lost;
  for (const auto& [id, binding] : m_bindings) {
    if (m_deps.clock.Now() >= binding.given_up_at) {
      lost.push_back(id);
    }
  }
  for (const std::string& id : lost) {
    OnBound(id);
  }
}

void PlacementController::NoteWaitReasons() {
  std::map<std::string, std::string> reasons;
  for (const std::string& id : m_deps.ledger.Unbound(m_deps.identity.domain)) {
    const placement::TaskDemand* demand = m_scheduler.queue().Find(id);
    if (demand == nullptr) {
      continue;
    }
    reasons[id] = m_scheduler.queue().IsEligible(id)
                      ? m_scheduler.cell().Explain(*demand).reason
                      : "plan \"" + demand->plan + "\" is at its allowance";
    if (reasons.size() >= m_options.most_reasons_noted) {
      break;
    }
  }
  std::lock_guard lock(m_reasons_mutex);
  m_reasons = std::move(reasons);
}

std::string PlacementController::WaitReason(const std::string& id) const {
  std::lock_guard lock(m_reasons_mutex);
  const auto found = m_reasons.find(id);
  return found == m_reasons.end() ? std::string() : found->second;
}

// A plan's allowance holds for the whole cell; other domains' use is known from
// the stream.
void PlacementController::SyncAllowances(const ListsSnapshot& lists) {
  for (const Plan& plan : lists.plans) {
    const Allowance* allowance = FindAllowance(lists, plan);
    if (allowance == nullptr) {
      continue;
    }
    const placement::Resources total{
        allowance->cpu_millis, allowance->memory_mb, allowance->accelerators};
    const placement::Resources elsewhere =
        m_deps.ledger.UsedElsewhere(plan.id, m_deps.identity.domain);
    placement::PlanAllowance rules;
    rules.quota = total;
    rules.limit =
        placement::Max(placement::Subtract(total, elsewhere), {0, 0, 0});
    rules.mode = allowance->actions == ActionMode::kApprove
                     ? placement::ActionMode::kApprove
                     : placement::ActionMode::kAutomatic;
    rules.preemptible = allowance->preempt;
    if (!allowance->urgent) {
      rules.urgent_limit = {0, 0, 0};
    }
    m_scheduler.queue().SetAllowance(plan.id, rules);
  }
}

// Claims are conditional records, so two domains that try win one only. A task
// that is not bound can't run anywhere, so to claim it is always safe.
void PlacementController::ClaimForeignTasks() {
  if (m_deps.peers.RankInDomain() != 0 ||
      m_scheduler.cell().WorkerCount() == 0) {
    return;
  }
  std::map<std::string, bool> silent;
  for (const Peer& peer : m_deps.peers.Peers()) {
    const bool gone =
        peer.suspected && peer.silent_ms >= m_options.claim_after.count();
    const auto [entry, added] = silent.emplace(peer.domain, gone);
    entry->second &= gone;
  }
  silent.erase(m_deps.identity.domain);
  std::vector<std::string> ids = m_deps.ledger.Unbound({});
  for (const auto& [domain, gone] : silent) {
    if (gone) {
      const std::vector<std::string> more = m_deps.ledger.Unbound(domain);
      ids.insert(ids.end(), more.begin(), more.end());
    }
  }
  size_t claims = 0;
  for (const std::string& id : ids) {
    const auto task = m_deps.ledger.Find(id);
    if (!task || task->phase != TaskPhase::kAccepted) {
      continue;
    }
    const placement::Decision decision =
        m_scheduler.cell().Place(ToDemand(*task, NowMillis()));
    if (std::holds_alternative<placement::Placement>(decision)) {
      Claim(*task);
      if (++claims >= m_options.most_claims_per_review) {
        return;
      }
    }
  }
}

void PlacementController::Claim(const TaskState& task) {
  Append(wire::EntryKind::kTaskClaim,
         wire::Encode(
             TaskClaim{task.spec.id, task.version, m_deps.identity.domain}));
}

// After faults a domain's workers may belong to several VMs, none of which has
// the room that a gang needs.
void PlacementController::YieldToGangs() {
  const base::MonoTime now = m_deps.clock.Now();
  const std::vector<std::string> owned = m_deps.fleet.OwnedWorkers();
  if (now < m_yield_at || owned.empty() ||
      owned.size() == m_deps.fleet.WorkerCount() ||
      m_deps.peers.RankInDomain() == 0) {
    return;
  }
  const std::vector<std::string> ids =
      m_deps.ledger.Unbound(m_deps.identity.domain);
  const bool waits = std::ranges::any_of(ids, [this](const std::string& id) {
    const placement::TaskDemand* demand = m_scheduler.queue().Find(id);
    return demand != nullptr && demand->gang_size > 1 &&
           WaitedFor(*demand, m_options.gang_wait);
  });
  if (!waits) {
    return;
  }
  m_yield_at = now + m_options.yield_interval;
  for (const std::string& worker : owned) {
    m_deps.fleet.Yield(worker);
  }
}

void PlacementController::GiveBackOldTasks() {
  const bool alone =
      std::ranges::none_of(m_deps.peers.Peers(), [this](const Peer& peer) {
        return peer.domain != m_deps.identity.domain && !peer.suspected;
      });
  if (alone || m_deps.peers.RankInDomain() != 0) {
    return;
  }
  for (const std::string& id : m_deps.ledger.Unbound(m_deps.identity.domain)) {
    const placement::TaskDemand* demand = m_scheduler.queue().Find(id);
    const auto task = m_deps.ledger.Find(id);
    if (task && demand != nullptr &&
        WaitedFor(*demand, m_options.give_back_after)) {
      GiveBack(*task, "its failure domain had no room for too long");
    }
  }
}

bool PlacementController::WaitedFor(const placement::TaskDemand& demand,
                                    base::Millis wait) const {
  return NowMillis() - demand.submitted_ms >= wait.count();
}

void PlacementController::GiveBack(const TaskState& task, std::string reason) {
  Append(wire::EntryKind::kTaskGiveBack,
         wire::Encode(TaskGiveBack{
             task.spec.id, task.version, false, {}, std::move(reason)}));
}

}  // namespace azurespur::control
