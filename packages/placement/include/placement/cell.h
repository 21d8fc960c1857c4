// Index of the workers of a cell and their free resources, used for placement
// decisions.

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

// End time of a task whose run time is not known.
inline constexpr int64_t kUnknownEndMs = std::numeric_limits<int64_t>::max();

// Reserves room on one worker for a pending task from `start_ms` on. Tasks that
// end by `start_ms` may use all room of the worker (backfill); other tasks may
// use only `spare`.
struct WorkerHold {
  std::string worker;
  int64_t start_ms = 0;
  Resources spare;
};

struct PlaceOptions {
  // Time by which the task is expected to have ended.
  int64_t ends_by_ms = kUnknownEndMs;
  bool ignore_holds = false;
};

// Read-only view of one worker.
struct WorkerView {
  std::string_view id;
  std::string_view rack;
  uint32_t rack_index = 0;  // Below Cell::RackCount().
  WorkerCondition condition = WorkerCondition::kLive;
  Resources capacity;
  // Capacity minus used resources. Negative for overcommitted resources.
  Resources room;
};

// The Place methods do not modify the cell; the caller reserves a placement
// that it accepts. Not thread-safe.
class Cell {
 public:
  // Adds the worker or replaces its state. `worker.used` must include
  // reservations that the worker's report does not cover yet, as
  // UsedResources() does.
  void UpdateWorker(const WorkerState& worker);

  void RemoveWorker(std::string_view id);

  // Best fit: the worker with the lowest FitScore() among those with room. Ties
  // are resolved in favor of the worker that was added first.
  Decision PlaceOne(const TaskDemand& demand,
                    const PlaceOptions& options = {}) const;

  // Places all members or none, with at most `rack_limit` members per rack.
  // Fills workers in the order in which PlaceOne() prefers them.
  Decision PlaceGang(const TaskDemand& demand,
                     const PlaceOptions& options = {}) const;

  // PlaceGang() for more than one member, else PlaceOne().
  Decision Place(const TaskDemand& demand,
                 const PlaceOptions& options = {}) const;

  // Explains why `demand` cannot be placed now. The kind is kInfeasible if it
  // could not be placed in an empty cell either.
  Refusal Explain(const TaskDemand& demand) const;

  // Number of changes so far that may have increased the usable room of a
  // worker.
  uint64_t CapacityGainCount() const { return m_capacity_gain_count; }

  // Returns false if no worker whose room increased since `capacity_gain_count`
  // has room for `size`. A demand refused at that time would be refused again.
  bool MayFitSince(uint64_t capacity_gain_count, const Resources& size) const;

  // Makes MayFitSince() return true for all earlier counts, as if the room of
  // every worker had increased.
  void InvalidateCapacityGains();

  // Adds `size` to the used resources of each worker of `placement`. Returns
  // false, and changes nothing, if one of them is unknown, does not accept
  // tasks or has no room. A probing worker returns to quarantine, so that it
  // gets only this one task.
  bool Reserve(const Placement& placement,
               const Resources& size,
               int64_t ends_by_ms = kUnknownEndMs);

  // Subtracts `size` from the used resources of one worker. No effect if the
  // worker is unknown.
  void Release(std::string_view worker, const Resources& size);

  // Replaces all holds. Holds on unknown workers are ignored.
  void SetHolds(std::span<const WorkerHold> holds);

  std::optional<WorkerState> FindWorker(std::string_view id) const;
  size_t RackCount() const { return m_racks.size(); }
  size_t WorkerCount() const { return m_index.size(); }

  // Sums over live workers. The room of an overcommitted resource counts as
  // zero.
  const Resources& TotalCapacity() const { return m_total_capacity; }
  const Resources& TotalRoom() const { return m_total_room; }

  // Sum over all workers in any condition.
  const Resources& KnownCapacity() const { return m_known_capacity; }

  // Returns true if `predicate` returns true for any worker.
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
  // The part of a worker's state that is read for every decision, kept compact
  // for fast scans.
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

  // Upper bound of the room in a block of consecutive slots. Lets a scan skip
  // blocks that cannot hold a demand.
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
  // Returns a heap of the workers with room for at least one member, best fit
  // first.
  std::vector<Candidate> GangCandidates(const TaskDemand& demand,
                                        const PlaceOptions& options) const;

  std::vector<Slot> m_slots;
  std::vector<std::string> m_ids;
  std::vector<Block> m_blocks;
  std::vector<uint32_t> m_free_slots;
  StringMap<uint32_t> m_index;
  std::vector<std::string> m_racks;
  StringMap<uint32_t> m_rack_index;
  // Indexed by slot. Entries are valid only where Slot::held is set.
  std::vector<HeldRoom> m_held_rooms;
  Resources m_known_capacity;
  Resources m_total_capacity;
  Resources m_total_room;
  uint64_t m_next_sequence = 0;
  // Ring buffer with the slots of the latest capacity gains.
  std::vector<uint32_t> m_capacity_gains;
  uint64_t m_capacity_gain_count = 0;
  // Capacity gains with a lower index are no longer in the ring buffer.
  uint64_t m_oldest_capacity_gain = 0;
};

}  // namespace azurespur::placement

#endif  // PLACEMENT_CELL_H_
