// The workers of a cell, indexed for placement decisions.

#ifndef PLACEMENT_CELL_H_
#define PLACEMENT_CELL_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "placement/decision.h"
#include "placement/resources.h"
#include "placement/task_demand.h"
#include "placement/worker_state.h"

namespace azurespur::placement {

// Decisions change nothing; the caller reserves a placement that it takes.
// Not thread-safe.
class Cell {
 public:
  // Adds the worker or replaces all that is known of it. `worker.used` must
  // include what was reserved and is not yet reported, as UsedResources()
  // does.
  void UpdateWorker(const WorkerState& worker);

  void RemoveWorker(std::string_view id);

  // Best fit: the live worker with room and the lowest FitScore(); the worker
  // that was added first wins a tie.
  Decision PlaceOne(const TaskDemand& demand) const;

  // Places all members or none, with at most `rack_spread` in one rack. Fills
  // workers in the order of PlaceOne().
  Decision PlaceGang(const TaskDemand& demand) const;

  // PlaceGang() for gangs, PlaceOne() for the rest.
  Decision Place(const TaskDemand& demand) const;

  // Counts `size` as used on each worker of `placement`. Returns false, and
  // changes nothing, if one is unknown, not live or without room.
  bool Reserve(const Placement& placement, const Resources& size);

  // Takes `size` back from the used resources of one worker. No effect if the
  // worker is unknown.
  void Release(std::string_view worker, const Resources& size);

  std::optional<WorkerState> FindWorker(std::string_view id) const;
  std::vector<WorkerState> Workers() const;
  size_t WorkerCount() const { return m_index.size(); }

  // Sums over live workers.
  Resources TotalCapacity() const;
  Resources TotalUsed() const;

 private:
  struct Slot {
    Resources room;
    Resources capacity;
    uint64_t sequence = 0;
    uint32_t rack = 0;
    bool present = false;
    WorkerCondition condition = WorkerCondition::kLive;
    std::string id;
  };

  struct Candidate {
    double score = 0;
    uint64_t sequence = 0;
    uint32_t slot = 0;
    int64_t members = 0;
  };

  struct StringHash {
    using is_transparent = void;
    size_t operator()(std::string_view text) const {
      return std::hash<std::string_view>{}(text);
    }
  };
  using Index =
      std::unordered_map<std::string, uint32_t, StringHash, std::equal_to<>>;

  Slot* Find(std::string_view id);
  uint32_t InternRack(const std::string& rack);
  WorkerState ToState(const Slot& slot) const;
  std::vector<Candidate> GangCandidates(const TaskDemand& demand) const;
  Refusal RefuseOne(const TaskDemand& demand) const;
  Refusal RefuseGang(const TaskDemand& demand) const;

  std::vector<Slot> m_slots;
  std::vector<uint32_t> m_free_slots;
  Index m_index;
  std::vector<std::string> m_racks;
  Index m_rack_index;
  uint64_t m_next_sequence = 0;
};

}  // namespace azurespur::placement

#endif  // PLACEMENT_CELL_H_
