#include "placement/timed_reservation.h"

#include <algorithm>
#include <utility>

#include "placement/fit_score.h"

namespace azurespur::placement {
namespace {

struct WorkerEntry {
  WorkerView worker;
  size_t rack = 0;
  int64_t members = 0;
};

struct ExpectedRelease {
  int64_t end_ms = 0;
  size_t entry = 0;
  Resources size;
};

bool EndsLater(const ExpectedRelease& a, const ExpectedRelease& b) {
  return a.end_ms > b.end_ms;
}

// Simulates the release of resources by ending tasks and counts the members of
// the demand that fit.
class CapacityForecast {
 public:
  CapacityForecast(const Cell& cell, const TaskDemand& demand)
      : m_demand(demand),
        m_wanted(MemberCount(demand)),
        m_per_rack(demand.rack_limit > 0 ? demand.rack_limit : m_wanted) {
    m_rack_members.resize(cell.RackCount());
    cell.ForEachWorker([&](const WorkerView& worker) {
      if (worker.condition != WorkerCondition::kLive ||
          !Fits(demand.size, worker.capacity)) {
        return;
      }
      m_entries.push_back({worker, worker.rack_index, 0});
    });
    for (WorkerEntry& entry : m_entries) {
      Recount(entry);
    }
  }

  const std::vector<WorkerEntry>& entries() const { return m_entries; }
  bool FitsAllMembers() const { return m_total >= m_wanted; }

  void Release(size_t entry, const Resources& size) {
    m_entries[entry].worker.room = Add(m_entries[entry].worker.room, size);
    Recount(m_entries[entry]);
  }

  // Returns a hold on each worker used by the demand. `spare` is the room that
  // the demand leaves there.
  std::vector<WorkerHold> MakeHolds(int64_t start_ms) {
    std::sort(m_entries.begin(), m_entries.end(),
              [this](const WorkerEntry& a, const WorkerEntry& b) {
                return Score(a) < Score(b);
              });
    std::vector<int64_t> remaining_per_rack(m_rack_members.size(), m_per_rack);
    std::vector<WorkerHold> holds;
    int64_t left = m_wanted;
    for (const WorkerEntry& entry : m_entries) {
      const int64_t taken =
          std::min({entry.members, remaining_per_rack[entry.rack], left});
      if (taken == 0) {
        continue;
      }
      remaining_per_rack[entry.rack] -= taken;
      left -= taken;
      holds.push_back(
          {std::string(entry.worker.id), start_ms,
           Subtract(entry.worker.room, Multiply(m_demand.size, taken))});
    }
    return holds;
  }

 private:
  double Score(const WorkerEntry& entry) const {
    return FitScore(m_demand.size, entry.worker.room,
                    MakeShareScale(entry.worker.capacity));
  }

  void Recount(WorkerEntry& entry) {
    int64_t& in_rack = m_rack_members[entry.rack];
    m_total -= std::min(in_rack, m_per_rack);
    in_rack -= entry.members;
    entry.members = CountFitting(m_demand.size, entry.worker.room, m_wanted);
    in_rack += entry.members;
    m_total += std::min(in_rack, m_per_rack);
  }

  const TaskDemand& m_demand;
  int64_t m_wanted;
  int64_t m_per_rack;
  std::vector<WorkerEntry> m_entries;
  std::vector<int64_t> m_rack_members;
  int64_t m_total = 0;
};

std::vector<ExpectedRelease> CollectReleases(
    const std::vector<WorkerEntry>& entries,
    const RunningTasks& running,
    int64_t now_ms) {
  std::vector<ExpectedRelease> releases;
  for (size_t i = 0; i < entries.size(); ++i) {
    const std::string_view worker = entries[i].worker.id;
    for (const RunningTask* task : running.OnWorker(worker)) {
      const int64_t end_ms = ExpectedEnd(*task, now_ms);
      if (end_ms == kUnknownEndMs) {
        continue;
      }
      const int64_t members =
          std::count(task->workers.begin(), task->workers.end(), worker);
      releases.push_back({end_ms, i, Multiply(task->size, members)});
    }
  }
  return releases;
}

}  // namespace

std::optional<TimedReservation> PlanReservation(const Cell& cell,
                                                const RunningTasks& running,
                                                const TaskDemand& demand,
                                                int64_t now_ms) {
  CapacityForecast forecast(cell, demand);
  std::vector<ExpectedRelease> releases =
      CollectReleases(forecast.entries(), running, now_ms);
  // A heap instead of a full sort, because usually only a few releases are
  // needed.
  std::make_heap(releases.begin(), releases.end(), EndsLater);
  int64_t start_ms = now_ms;
  while (!forecast.FitsAllMembers()) {
    if (releases.empty()) {
      return std::nullopt;
    }
    std::pop_heap(releases.begin(), releases.end(), EndsLater);
    const ExpectedRelease next = releases.back();
    releases.pop_back();
    start_ms = next.end_ms;
    forecast.Release(next.entry, next.size);
  }
  return TimedReservation{demand.id, now_ms, start_ms, TotalSize(demand),
                          forecast.MakeHolds(start_ms)};
}

}  // namespace azurespur::placement
