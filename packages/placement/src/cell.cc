#include "placement/cell.h"

#include <algorithm>
#include <utility>

#include "refusal_reason.h"

namespace azurespur::placement {
namespace {

constexpr uint32_t kSlotsPerBlock = 16;
constexpr uint64_t kMaxCapacityGains = 1024;

Resources ClampToZero(const Resources& room) {
  return Max(room, Resources{});
}

}  // namespace

void Cell::UpdateWorker(const WorkerState& worker) {
  const std::optional<uint32_t> known = Find(worker.id);
  const uint32_t position = known ? *known : AddSlot(worker.id);
  Slot& slot = m_slots[position];
  const Resources old_room = slot.room;
  const uint64_t old_condition = slot.condition;
  UpdateTotals(slot, -1);
  slot.rack = InternRack(worker.rack);
  slot.condition = static_cast<uint64_t>(worker.condition);
  slot.capacity = worker.capacity;
  slot.scale = MakeShareScale(worker.capacity);
  slot.room = Subtract(worker.capacity, worker.used);
  UpdateTotals(slot, 1);
  RefreshBlock(position);
  if (!known || slot.condition != old_condition || !Fits(slot.room, old_room)) {
    RecordCapacityGain(position);
  }
}

void Cell::RemoveWorker(std::string_view id) {
  const std::optional<uint32_t> position = Find(id);
  if (!position) {
    return;
  }
  UpdateTotals(m_slots[*position], -1);
  m_slots[*position] = Slot{};
  m_index.erase(m_index.find(id));
  m_ids[*position].clear();
  m_free_slots.push_back(*position);
  RefreshBlock(*position);
}

Decision Cell::Place(const TaskDemand& demand,
                     const PlaceOptions& options) const {
  return MemberCount(demand) > 1 ? PlaceGang(demand, options)
                                 : PlaceOne(demand, options);
}

Decision Cell::PlaceOne(const TaskDemand& demand,
                        const PlaceOptions& options) const {
  std::optional<uint32_t> best;
  double best_score = 0;
  for (uint32_t block = 0; block < m_blocks.size(); ++block) {
    if (!Fits(demand.size, m_blocks[block].largest_room)) {
      continue;
    }
    const uint32_t first = block * kSlotsPerBlock;
    const uint32_t end =
        std::min(first + kSlotsPerBlock, static_cast<uint32_t>(m_slots.size()));
    for (uint32_t i = first; i < end; ++i) {
      const Slot& slot = m_slots[i];
      if (!Fits(demand.size, slot.room) || !AcceptsTask(i, demand) ||
          !Fits(demand.size, UsableRoom(i, options))) {
        continue;
      }
      const double score = FitScore(demand.size, slot.room, slot.scale);
      if (!best || score < best_score ||
          (score == best_score && slot.sequence < m_slots[*best].sequence)) {
        best = i;
        best_score = score;
      }
    }
  }
  if (!best) {
    return Explain(demand);
  }
  return Placement{{m_ids[*best]}};
}

bool Cell::FitsWorse(const Candidate& a, const Candidate& b) {
  return a.score != b.score ? a.score > b.score : a.sequence > b.sequence;
}

std::vector<Cell::Candidate> Cell::GangCandidates(
    const TaskDemand& demand,
    const PlaceOptions& options) const {
  std::vector<Candidate> candidates;
  for (uint32_t i = 0; i < m_slots.size(); ++i) {
    const Slot& slot = m_slots[i];
    if (!Fits(demand.size, slot.room) || !AcceptsTask(i, demand)) {
      continue;
    }
    const int64_t members =
        CountFitting(demand.size, UsableRoom(i, options), MemberCount(demand));
    if (members > 0) {
      candidates.push_back({FitScore(demand.size, slot.room, slot.scale),
                            slot.sequence, i, members});
    }
  }
  std::make_heap(candidates.begin(), candidates.end(), FitsWorse);
  return candidates;
}

Decision Cell::PlaceGang(const TaskDemand& demand,
                         const PlaceOptions& options) const {
  const int64_t wanted = MemberCount(demand);
  const int64_t per_rack = demand.rack_limit > 0 ? demand.rack_limit : wanted;
  std::vector<int64_t> remaining_per_rack(m_racks.size(), per_rack);
  Placement placement;
  // Greedy filling finds a placement in any order if there is one, because
  // members placed on a worker only reduce what its own rack may still take.
  int64_t left = wanted;
  std::vector<Candidate> candidates = GangCandidates(demand, options);
  while (!candidates.empty()) {
    std::pop_heap(candidates.begin(), candidates.end(), FitsWorse);
    const Candidate candidate = candidates.back();
    candidates.pop_back();
    const uint32_t rack = m_slots[candidate.slot].rack;
    const int64_t taken =
        std::min({candidate.members, remaining_per_rack[rack], left});
    remaining_per_rack[rack] -= taken;
    left -= taken;
    placement.workers.insert(placement.workers.end(),
                             static_cast<size_t>(taken), m_ids[candidate.slot]);
    if (left == 0) {
      return placement;
    }
  }
  return Explain(demand);
}

Refusal Cell::Explain(const TaskDemand& demand) const {
  return ExplainRefusal(*this, demand);
}

bool Cell::Reserve(const Placement& placement,
                   const Resources& size,
                   int64_t ends_by_ms) {
  size_t reserved = 0;
  for (const std::string& worker : placement.workers) {
    const std::optional<uint32_t> position = Find(worker);
    if (!position) {
      break;
    }
    const Slot& slot = m_slots[*position];
    const auto condition = static_cast<WorkerCondition>(slot.condition);
    if (!Fits(size, slot.room) || (condition != WorkerCondition::kLive &&
                                   condition != WorkerCondition::kProbing)) {
      break;
    }
    SetRoom(*position, Subtract(slot.room, size));
    ++reserved;
  }
  if (reserved < placement.workers.size()) {
    for (size_t i = 0; i < reserved; ++i) {
      Release(placement.workers[i], size);
    }
    return false;
  }
  for (const std::string& worker : placement.workers) {
    const uint32_t position = *Find(worker);
    Slot& slot = m_slots[position];
    if (slot.condition == static_cast<uint64_t>(WorkerCondition::kProbing)) {
      slot.condition = static_cast<uint64_t>(WorkerCondition::kQuarantined);
    }
    if (slot.held && ends_by_ms > m_held_rooms[position].start_ms) {
      Resources& spare = m_held_rooms[position].spare;
      spare = Subtract(spare, size);
    }
  }
  return true;
}

void Cell::Release(std::string_view worker, const Resources& size) {
  const std::optional<uint32_t> position = Find(worker);
  if (position) {
    SetRoom(*position, Add(m_slots[*position].room, size));
    RecordCapacityGain(*position);
  }
}

void Cell::SetHolds(std::span<const WorkerHold> holds) {
  InvalidateCapacityGains();
  for (Slot& slot : m_slots) {
    slot.held = false;
  }
  m_held_rooms.resize(holds.empty() ? 0 : m_slots.size());
  for (const WorkerHold& hold : holds) {
    const std::optional<uint32_t> position = Find(hold.worker);
    if (!position) {
      continue;
    }
    m_slots[*position].held = true;
    m_held_rooms[*position] = {hold.start_ms, hold.spare};
  }
}

std::optional<WorkerState> Cell::FindWorker(std::string_view id) const {
  const std::optional<uint32_t> position = Find(id);
  if (!position) {
    return std::nullopt;
  }
  const WorkerView view = ViewOf(*position);
  return WorkerState{std::string(view.id), std::string(view.rack),
                     view.condition, view.capacity,
                     Subtract(view.capacity, view.room)};
}

WorkerView Cell::ViewOf(uint32_t position) const {
  const Slot& slot = m_slots[position];
  return {m_ids[position], m_racks[slot.rack],
          slot.rack,       static_cast<WorkerCondition>(slot.condition),
          slot.capacity,   slot.room};
}

std::optional<uint32_t> Cell::Find(std::string_view id) const {
  const auto found = m_index.find(id);
  if (found == m_index.end()) {
    return std::nullopt;
  }
  return found->second;
}

uint32_t Cell::AddSlot(const std::string& id) {
  uint32_t position = static_cast<uint32_t>(m_slots.size());
  if (m_free_slots.empty()) {
    m_slots.emplace_back();
    m_ids.emplace_back();
    m_blocks.resize(position / kSlotsPerBlock + 1);
    if (!m_held_rooms.empty()) {
      m_held_rooms.emplace_back();
    }
  } else {
    position = m_free_slots.back();
    m_free_slots.pop_back();
  }
  m_slots[position].present = true;
  m_slots[position].sequence = m_next_sequence++;
  m_ids[position] = id;
  m_index.emplace(id, position);
  return position;
}

uint32_t Cell::InternRack(const std::string& rack) {
  const auto [found, added] =
      m_rack_index.emplace(rack, static_cast<uint32_t>(m_racks.size()));
  if (added) {
    m_racks.push_back(rack);
  }
  return found->second;
}

void Cell::SetRoom(uint32_t position, const Resources& room) {
  Slot& slot = m_slots[position];
  UpdateTotals(slot, -1);
  slot.room = room;
  UpdateTotals(slot, 1);
  RefreshBlock(position);
}

void Cell::UpdateTotals(const Slot& slot, int64_t sign) {
  m_known_capacity = Add(m_known_capacity, Multiply(slot.capacity, sign));
  if (slot.condition != static_cast<uint64_t>(WorkerCondition::kLive)) {
    return;
  }
  m_total_capacity = Add(m_total_capacity, Multiply(slot.capacity, sign));
  m_total_room = Add(m_total_room, Multiply(ClampToZero(slot.room), sign));
}

void Cell::RefreshBlock(uint32_t position) {
  const uint32_t block = position / kSlotsPerBlock;
  const uint32_t first = block * kSlotsPerBlock;
  const uint32_t end =
      std::min(first + kSlotsPerBlock, static_cast<uint32_t>(m_slots.size()));
  Resources largest = {-1, -1, -1};
  for (uint32_t i = first; i < end; ++i) {
    if (m_slots[i].present) {
      largest = Max(largest, m_slots[i].room);
    }
  }
  m_blocks[block].largest_room = largest;
}

void Cell::RecordCapacityGain(uint32_t position) {
  if (m_capacity_gains.empty()) {
    m_capacity_gains.resize(kMaxCapacityGains);
  }
  m_capacity_gains[m_capacity_gain_count % kMaxCapacityGains] = position;
  ++m_capacity_gain_count;
  if (m_capacity_gain_count - m_oldest_capacity_gain > kMaxCapacityGains) {
    m_oldest_capacity_gain = m_capacity_gain_count - kMaxCapacityGains;
  }
}

void Cell::InvalidateCapacityGains() {
  ++m_capacity_gain_count;
  m_oldest_capacity_gain = m_capacity_gain_count;
}

bool Cell::MayFitSince(uint64_t capacity_gain_count,
                       const Resources& size) const {
  if (capacity_gain_count < m_oldest_capacity_gain) {
    return true;
  }
  for (uint64_t i = capacity_gain_count; i < m_capacity_gain_count; ++i) {
    if (Fits(size, m_slots[m_capacity_gains[i % kMaxCapacityGains]].room)) {
      return true;
    }
  }
  return false;
}

bool Cell::AcceptsTask(uint32_t position, const TaskDemand& demand) const {
  const Slot& slot = m_slots[position];
  const auto& avoided = demand.avoided_workers;
  if (!slot.present || std::find(avoided.begin(), avoided.end(),
                                 m_ids[position]) != avoided.end()) {
    return false;
  }
  switch (static_cast<WorkerCondition>(slot.condition)) {
    case WorkerCondition::kLive:
      return true;
    case WorkerCondition::kProbing:
      return demand.task_class == TaskClass::kBatch && !demand.urgent &&
             MemberCount(demand) == 1;
    case WorkerCondition::kUnowned:
    case WorkerCondition::kLeaving:
    case WorkerCondition::kQuarantined:
      return false;
  }
  return false;
}

Resources Cell::UsableRoom(uint32_t position,
                           const PlaceOptions& options) const {
  const Slot& slot = m_slots[position];
  if (!slot.held || options.ignore_holds ||
      options.ends_by_ms <= m_held_rooms[position].start_ms) {
    return slot.room;
  }
  return Min(slot.room, m_held_rooms[position].spare);
}

}  // namespace azurespur::placement
