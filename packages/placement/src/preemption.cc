#include "placement/preemption.h"

#include <algorithm>
#include <limits>
#include <unordered_map>
#include <unordered_set>
#include <utility>

namespace azurespur::placement {
namespace {

// Factor on the cost of evicting tasks of plans that exceed their quota.
constexpr double kOverQuotaFactor = 0.1;

// Share of the run time that is lost although a checkpoint is taken.
constexpr double kCheckpointFactor = 0.1;

// Fixed cost of each eviction for the restart of a member, in milliseconds of
// run time.
constexpr double kRestartMillis = 10'000;

struct Victim {
  const RunningTask* task = nullptr;
  double cost = 0;
  Resources size;  // Total of its members on the worker.
};

// A worker for one more member and the evictions needed to make room there.
struct EvictionChoice {
  std::string_view worker;
  std::string_view rack;
  double cost = std::numeric_limits<double>::infinity();
  std::vector<Victim> victims;
};

// Changes of room and evictions already decided for the members placed so far.
struct PendingChanges {
  std::unordered_map<std::string_view, Resources> room_change;
  std::unordered_map<std::string_view, int64_t> rack_members;
  std::unordered_set<const RunningTask*> victims;
};

Resources SizeOn(const RunningTask& task, std::string_view worker) {
  const int64_t members =
      std::count(task.workers.begin(), task.workers.end(), worker);
  return Multiply(task.size, members);
}

class Planner {
 public:
  Planner(const Cell& cell,
          const RunningTasks& running,
          const TaskDemand& demand,
          const EvictionPolicyLookup& lookup,
          const BusyWorkerPredicate& is_busy,
          int64_t now_ms)
      : m_cell(cell),
        m_running(running),
        m_demand(demand),
        m_lookup(lookup),
        m_is_busy(is_busy),
        m_now_ms(now_ms) {}

  std::optional<PreemptionPlan> Plan() {
    PreemptionPlan plan;
    plan.task = m_demand.id;
    for (int64_t i = 0; i < MemberCount(m_demand); ++i) {
      const EvictionChoice choice = CheapestWorker();
      if (choice.worker.empty()) {
        return std::nullopt;
      }
      Apply(choice);
      plan.placement.workers.emplace_back(choice.worker);
    }
    for (const RunningTask* victim : m_pending.victims) {
      plan.victims.push_back(victim->id);
      plan.needs_approval |= m_lookup(victim->plan).needs_approval;
    }
    std::sort(plan.victims.begin(), plan.victims.end());
    return plan;
  }

 private:
  EvictionChoice CheapestWorker() {
    EvictionChoice best;
    m_cell.ForEachWorker([&](const WorkerView& worker) {
      if (worker.condition != WorkerCondition::kLive ||
          !Fits(m_demand.size, worker.capacity) || RackIsFull(worker.rack) ||
          m_is_busy(worker.id)) {
        return;
      }
      EvictionChoice choice = ChooseOn(worker, best.cost);
      if (choice.cost < best.cost) {
        best = std::move(choice);
      }
    });
    return best;
  }

  bool RackIsFull(std::string_view rack) const {
    if (m_demand.rack_limit <= 0) {
      return false;
    }
    const auto found = m_pending.rack_members.find(rack);
    return found != m_pending.rack_members.end() &&
           found->second >= m_demand.rack_limit;
  }

  Resources RoomOn(const WorkerView& worker) const {
    const auto change = m_pending.room_change.find(worker.id);
    return change == m_pending.room_change.end()
               ? worker.room
               : Add(worker.room, change->second);
  }

  std::vector<Victim> VictimsOn(std::string_view worker) {
    std::vector<Victim> victims;
    for (const RunningTask* task : m_running.OnWorker(worker)) {
      if (m_pending.victims.contains(task)) {
        continue;
      }
      const std::optional<double> cost =
          EvictionCost(*task, PlanOf(task->plan), m_now_ms);
      if (cost) {
        victims.push_back({task, *cost, SizeOn(*task, worker)});
      }
    }
    std::sort(
        victims.begin(), victims.end(), [](const Victim& a, const Victim& b) {
          return a.cost != b.cost ? a.cost < b.cost : a.task->id < b.task->id;
        });
    return victims;
  }

  const EvictionPolicy& PlanOf(const std::string& plan) {
    const auto [found, added] = m_plans.try_emplace(plan);
    if (added) {
      found->second = m_lookup(plan);
    }
    return found->second;
  }

  // Returns the choice for `worker`, or one with infinite cost if evictions do
  // not make enough room there or cost at least `bound`.
  EvictionChoice ChooseOn(const WorkerView& worker, double bound) {
    EvictionChoice choice = {worker.id, worker.rack, 0, {}};
    Resources room = RoomOn(worker);
    if (Fits(m_demand.size, room)) {
      return choice;
    }
    for (const Victim& victim : VictimsOn(worker.id)) {
      if (!RelievesShortage(victim, room)) {
        continue;
      }
      room = Add(room, victim.size);
      choice.victims.push_back(victim);
      if (Fits(m_demand.size, room)) {
        break;
      }
    }
    if (!Fits(m_demand.size, room)) {
      return {};
    }
    RemoveUnneeded(choice.victims, room);
    for (const Victim& victim : choice.victims) {
      choice.cost += victim.cost;
    }
    return choice.cost < bound ? choice : EvictionChoice{};
  }

  // Returns true if the victim frees some of a resource that is still short.
  bool RelievesShortage(const Victim& victim, const Resources& room) const {
    const Resources& size = m_demand.size;
    return (size.cpu_millis > room.cpu_millis && victim.size.cpu_millis > 0) ||
           (size.memory_mb > room.memory_mb && victim.size.memory_mb > 0) ||
           (size.accelerators > room.accelerators &&
            victim.size.accelerators > 0);
  }

  // Spares victims that are not needed to make enough room, the most expensive
  // first.
  void RemoveUnneeded(std::vector<Victim>& victims, Resources room) const {
    for (size_t i = victims.size(); i-- > 0;) {
      const Resources without = Subtract(room, victims[i].size);
      if (Fits(m_demand.size, without)) {
        room = without;
        victims.erase(victims.begin() + static_cast<ptrdiff_t>(i));
      }
    }
  }

  void Apply(const EvictionChoice& choice) {
    for (const Victim& victim : choice.victims) {
      m_pending.victims.insert(victim.task);
      for (const std::string& worker : victim.task->workers) {
        Resources& change = m_pending.room_change[worker];
        change = Add(change, victim.task->size);
      }
    }
    Resources& change = m_pending.room_change[choice.worker];
    change = Subtract(change, m_demand.size);
    ++m_pending.rack_members[choice.rack];
  }

  const Cell& m_cell;
  const RunningTasks& m_running;
  const TaskDemand& m_demand;
  const EvictionPolicyLookup& m_lookup;
  const BusyWorkerPredicate& m_is_busy;
  int64_t m_now_ms;
  PendingChanges m_pending;
  std::unordered_map<std::string, EvictionPolicy> m_plans;
};

}  // namespace

std::optional<double> EvictionCost(const RunningTask& task,
                                   const EvictionPolicy& plan,
                                   int64_t now_ms) {
  if (task.task_class == TaskClass::kService || task.urgent ||
      !plan.preemptible) {
    return std::nullopt;
  }
  const auto elapsed_ms =
      static_cast<double>(std::max<int64_t>(now_ms - task.started_ms, 0));
  const double lost_ms =
      task.checkpointable ? elapsed_ms * kCheckpointFactor : elapsed_ms;
  // A gang is evicted as a whole, so all of its members lose their work.
  const auto members = static_cast<double>(task.workers.size());
  const double cost = (lost_ms + kRestartMillis) * members;
  return plan.over_quota ? cost * kOverQuotaFactor : cost;
}

std::optional<PreemptionPlan> PlanPreemption(const Cell& cell,
                                             const RunningTasks& running,
                                             const TaskDemand& demand,
                                             const EvictionPolicyLookup& lookup,
                                             const BusyWorkerPredicate& is_busy,
                                             int64_t now_ms) {
  return Planner(cell, running, demand, lookup, is_busy, now_ms).Plan();
}

}  // namespace azurespur::placement
