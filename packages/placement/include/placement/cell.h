// The workers of a cell, indexed for placement decisions.

#ifndef PLACEMENT_CELL_H_
#define PLACEMENT_CELL_H_

#include <cstddef>
#include <cstdint>
#include <limits>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "placement/decision.h"
#include "placement/fit_score.h"
#include "placement/resources.h"
#include "placement/string_hash.h"
#include "placement/task_demand.h"
#include "placement/worker_state.h"

namespace azurespur::placement {

inline constexpr int64_t kUnknownEndMs = std::numeric_limits<int64_t>::max();

// Room on one worker that a waiting task is to have from `start_ms` on. Work
// that has ended by then may use the worker freely until then, other work only
// `spare`.
struct WorkerHold {
  std::string worker;
  int64_t start_ms = 0;
  Resources spare;
};

struct PlaceOptions {
  // Time by which the task will have ended.
  int64_t ends_by_ms = kUnknownEndMs;
  bool ignore_holds = false;
};

// One worker as seen by a visitor.
struct WorkerView {
  std::string_view id;
  std::string_view rack;
  uint32_t rack_index = 0;  // Below Cell::RackCount().
  WorkerCondition condition = WorkerCondition::kLive;
  Resources capacity;
  // Negative in a resource that is overloaded.
  Resources room;
};

// Decisions change nothing; the caller reserves a placement that it takes.
// Not thread-safe.
class Cell {
 public:
  // Adds the worker or replaces all that is known of it. `worker.used` must
  // include what was reserved and is not yet reported, as UsedResources()
  // does.
  void UpdateWorker(const WorkerState& worker);

  void RemoveWorker(std::string_view id);

  // Best fit: the worker with room and the lowest FitScore(); the worker that
  // was added first wins a tie.
  Decision PlaceOne(const TaskDemand& demand,
                    const PlaceOptions& options = {}) const;

  // Places all members or none, with at most `rack_limit` in one rack. Fills
  // workers in the order of PlaceOne().
  Decision PlaceGang(const TaskDemand& demand,
                     const PlaceOptions& options = {}) const;

  // PlaceGang() for more than one member, else PlaceOne().
  Decision Place(const TaskDemand& demand,
                 const PlaceOptions& options = {}) const;

  // Why `demand` has no place now: kInfeasible if it would have none in an empty
  // cell.
  Refusal Explain(const TaskDemand& demand) const;

  // The number of changes so far that gave a worker more room.
  uint64_t CapacityGainCount() const { return m_capacity_gain_count; }

  // False if nothing that grew since `capacity_gain_count` has room for `size`; a
  // demand refused then would be refused now.
  bool MayFitSince(uint64_t capacity_gain_count, const Resources& size) const;

  // Counts as a growth of every worker.
  void InvalidateCapacityGains();

  // Counts `size` as used on each worker of `placement`. Returns false, and
  // changes nothing, if one is unknown, takes no work or has no room. A worker
  // that is probing is quarantined again by its one task.
  bool Reserve(const Placement& placement,
               const Resources& size,
               int64_t ends_by_ms = kUnknownEndMs);

  // Takes `size` back from the used resources of one worker. No effect if the
  // worker is unknown.
  void Release(std::string_view worker, const Resources& size);

  // Replaces all holds. Unknown workers are skipped.
  void SetHolds(std::span<const WorkerHold> holds);

  std::optional<WorkerState> FindWorker(std::string_view id) const;
  size_t RackCount() const { return m_racks.size(); }
  size_t WorkerCount() const { return m_index.size(); }

  // Sums over live workers. Overloaded workers count as full.
  const Resources& TotalCapacity() const { return m_total_capacity; }
  const Resources& TotalRoom() const { return m_total_room; }

  // Sum over all workers, whatever their condition.
  const Resources& KnownCapacity() const { return m_known_capacity; }

  // True if `predicate` holds for the view of a worker.
  template <typename Predicate>
  bool AnyWorker(Predicate predicate) const {
    for (uint32_t i = 0; i < m_slots.size(); ++i) {
      if (m_slots[i].present && predicate(ViewOf(i))) {
        return true;
      }
    }
    return false;
  }

  template <typename Visitor>
  void ForEachWorker(Visitor visit) const {
    for (uint32_t i = 0; i < m_slots.size(); ++i) {
      if (m_slots[i].present) {
        visit(ViewOf(i));
      }
    }
  }

 private:
  // What a decision reads of every worker.
  struct Slot {
    Resources room;
    Resources capacity;
    ShareScale scale;  // Of `capacity`.
    uint64_t sequence : 48 = 0;
    uint64_t condition : 8 = 0;
    bool present = false;
    bool held = false;
    uint32_t rack = 0;
  };

  // Upper bound of the room on a run of neighbouring slots.
  struct Block {
    Resources largest_room;
  };

  struct HeldRoom {
    int64_t start_ms = 0;
    Resources spare;
  };

  struct Candidate {
    double score = 0;
    uint64_t sequence = 0;
    uint32_t slot = 0;
    int64_t members = 0;
  };

  WorkerView ViewOf(uint32_t position) const;
  std::optional<uint32_t> Find(std::string_view id) const;
  uint32_t AddSlot(const std::string& id);
  uint32_t InternRack(const std::string& rack);
  void SetRoom(uint32_t position, const Resources& room);
  void UpdateTotals(const Slot& slot, int64_t sign);
  void RefreshBlock(uint32_t position);
  void RecordCapacityGain(uint32_t position);

  bool AcceptsTask(uint32_t position, const TaskDemand& demand) const;
  Resources UsableRoom(uint32_t position, const PlaceOptions& options) const;
  static bool FitsWorse(const Candidate& a, const Candidate& b);
  // A heap of the workers that hold a member, the best fit on top.
  std::vector<Candidate> GangCandidates(const TaskDemand& demand,
                                        const PlaceOptions& options) const;

  std::vector<Slot> m_slots;
  std::vector<std::string> m_ids;
  std::vector<Block> m_blocks;
  std::vector<uint32_t> m_free_slots;
  StringMap<uint32_t> m_index;
  std::vector<std::string> m_racks;
  StringMap<uint32_t> m_rack_index;
  std::vector<HeldRoom> m_held_rooms;  // By slot; valid where `held` is set.
  Resources m_known_capacity;
  Resources m_total_capacity;
  Resources m_total_room;
  uint64_t m_next_sequence = 0;
  // The slots of the latest growths, a ring.
  std::vector<uint32_t> m_capacity_gains;
  uint64_t m_capacity_gain_count = 0;
  // Earlier growths are not known any more.
  uint64_t m_oldest_capacity_gain = 0;
};

}  // namespace azurespur::placement

#endif  // PLACEMENT_CELL_H_
