#include "placement/timed_reservation.h"

#include <algorithm>
#include <utility>

#include "placement/fit_score.h"

namespace azurespur::placement {
namespace {

struct Row {
  WorkerView worker;
  size_t rack = 0;
  int64_t members = 0;
};

struct ExpectedRelease {
  int64_t end_ms = 0;
  size_t row = 0;
  Resources size;
};

bool EndsLater(const ExpectedRelease& a, const ExpectedRelease& b) {
  return a.end_ms > b.end_ms;
}

// The cell as it empties, with the number of members it holds.
class Timeline {
 public:
  Timeline(const Cell& cell, const TaskDemand& demand)
      : m_demand(demand),
        m_wanted(MemberCount(demand)),
        m_per_rack(demand.rack_spread > 0 ? demand.rack_spread : m_wanted) {
    m_rack_members.resize(cell.RackCount());
    cell.ForEachWorker([&](const WorkerView& worker) {
      if (worker.condition != WorkerCondition::kLive ||
          !Fits(demand.size, worker.capacity)) {
        return;
      }
      m_rows.push_back({worker, worker.rack_index, 0});
    });
    for (Row& row : m_rows) {
      Recount(row);
    }
  }

  const std::vector<Row>& rows() const { return m_rows; }
  bool HoldsAll() const { return m_total >= m_wanted; }

  void Release(size_t row, const Resources& size) {
    m_rows[row].worker.room = Add(m_rows[row].worker.room, size);
    Recount(m_rows[row]);
  }

  // The room left beside the demand on each worker that it takes.
  std::vector<WorkerHold> MakeHolds(int64_t start_ms) {
    std::sort(m_rows.begin(), m_rows.end(), [this](const Row& a, const Row& b) {
      return Score(a) < Score(b);
    });
    std::vector<int64_t> rack_room(m_rack_members.size(), m_per_rack);
    std::vector<WorkerHold> holds;
    int64_t left = m_wanted;
    for (const Row& row : m_rows) {
      const int64_t taken = std::min({row.members, rack_room[row.rack], left});
      if (taken == 0) {
        continue;
      }
      rack_room[row.rack] -= taken;
      left -= taken;
      holds.push_back(
          {std::string(row.worker.id), start_ms,
           Subtract(row.worker.room, Multiply(m_demand.size, taken))});
    }
    return holds;
  }

 private:
  double Score(const Row& row) const {
    return FitScore(m_demand.size, row.worker.room,
                    MakeShareScale(row.worker.capacity));
  }

  void Recount(Row& row) {
    int64_t& in_rack = m_rack_members[row.rack];
    m_total -= std::min(in_rack, m_per_rack);
    in_rack -= row.members;
    row.members = CountFitting(m_demand.size, row.worker.room, m_wanted);
    in_rack += row.members;
    m_total += std::min(in_rack, m_per_rack);
  }

  const TaskDemand& m_demand;
  int64_t m_wanted;
  int64_t m_per_rack;
  std::vector<Row> m_rows;
  std::vector<int64_t> m_rack_members;
  int64_t m_total = 0;
};

std::vector<ExpectedRelease> CollectReleases(const std::vector<Row>& rows,
                                             const RunningTasks& running,
                                             int64_t now_ms) {
  std::vector<ExpectedRelease> releases;
  for (size_t i = 0; i < rows.size(); ++i) {
    const std::string_view worker = rows[i].worker.id;
    for (const RunningTask* task : running.OnWorker(worker)) {
      const int64_t end_ms = ExpectedEnd(*task, now_ms);
      if (end_ms == kUnknownEnd) {
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
  Timeline timeline(cell, demand);
  std::vector<ExpectedRelease> releases =
      CollectReleases(timeline.rows(), running, now_ms);
  // A heap, because mostly a small part of the releases is needed.
  std::make_heap(releases.begin(), releases.end(), EndsLater);
  int64_t start_ms = now_ms;
  while (!timeline.HoldsAll()) {
    if (releases.empty()) {
      return std::nullopt;
    }
    std::pop_heap(releases.begin(), releases.end(), EndsLater);
    const ExpectedRelease next = releases.back();
    releases.pop_back();
    start_ms = next.end_ms;
    timeline.Release(next.row, next.size);
  }
  return TimedReservation{demand.id, now_ms, start_ms, TotalSize(demand),
                          timeline.MakeHolds(start_ms)};
}

}  // namespace azurespur::placement
