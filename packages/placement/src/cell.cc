#include "placement/cell.h"

#include <algorithm>
#include <functional>

#include "placement/fit_score.h"

namespace azurespur::placement {
namespace {

std::string NeverFitsReason(const TaskDemand& demand,
                            std::string_view resource,
                            int64_t wanted,
                            int64_t largest,
                            std::string_view worker) {
  return "task \"" + demand.id + "\" needs " + std::string(resource) + "=" +
         std::to_string(wanted) + ", the largest worker \"" +
         std::string(worker) + "\" has " + std::to_string(largest);
}

}  // namespace

void Cell::UpdateWorker(const WorkerState& worker) {
  Slot* slot = Find(worker.id);
  if (slot == nullptr) {
    uint32_t position = 0;
    if (m_free_slots.empty()) {
      position = static_cast<uint32_t>(m_slots.size());
      m_slots.emplace_back();
    } else {
      position = m_free_slots.back();
      m_free_slots.pop_back();
    }
    m_index.emplace(worker.id, position);
    slot = &m_slots[position];
    slot->id = worker.id;
    slot->present = true;
    slot->sequence = m_next_sequence++;
  }
  slot->rack = InternRack(worker.rack);
  slot->condition = worker.condition;
  slot->capacity = worker.capacity;
  slot->room = Subtract(worker.capacity, worker.used);
}

void Cell::RemoveWorker(std::string_view id) {
  const auto found = m_index.find(id);
  if (found == m_index.end()) {
    return;
  }
  const uint32_t position = found->second;
  m_slots[position] = Slot{};
  m_free_slots.push_back(position);
  m_index.erase(found);
}

Decision Cell::Place(const TaskDemand& demand) const {
  return MemberCount(demand) > 1 ? PlaceGang(demand) : PlaceOne(demand);
}

Decision Cell::PlaceOne(const TaskDemand& demand) const {
  const Slot* best = nullptr;
  double best_score = 0;
  for (const Slot& slot : m_slots) {
    if (!slot.present || slot.condition != WorkerCondition::kLive ||
        !Fits(demand.size, slot.room)) {
      continue;
    }
    const double score = FitScore(demand.size, slot.room, slot.capacity);
    if (best == nullptr || score < best_score ||
        (score == best_score && slot.sequence < best->sequence)) {
      best = &slot;
      best_score = score;
    }
  }
  if (best == nullptr) {
    return RefuseOne(demand);
  }
  return Placement{{best->id}};
}

std::vector<Cell::Candidate> Cell::GangCandidates(
    const TaskDemand& demand) const {
  std::vector<Candidate> candidates;
  for (uint32_t i = 0; i < m_slots.size(); ++i) {
    const Slot& slot = m_slots[i];
    if (!slot.present || slot.condition != WorkerCondition::kLive) {
      continue;
    }
    const int64_t members =
        CountFitting(demand.size, slot.room, MemberCount(demand));
    if (members > 0) {
      candidates.push_back({FitScore(demand.size, slot.room, slot.capacity),
                            slot.sequence, i, members});
    }
  }
  std::sort(candidates.begin(), candidates.end(),
            [](const Candidate& a, const Candidate& b) {
              return a.score != b.score ? a.score < b.score
                                        : a.sequence < b.sequence;
            });
  return candidates;
}

Decision Cell::PlaceGang(const TaskDemand& demand) const {
  const int64_t wanted = MemberCount(demand);
  const int64_t per_rack = demand.rack_spread > 0 ? demand.rack_spread : wanted;
  std::vector<int64_t> rack_room(m_racks.size(), per_rack);
  Placement placement;
  // Filling in any order finds a placement if there is one: what one worker
  // takes only lessens what its own rack may still take.
  int64_t left = wanted;
  for (const Candidate& candidate : GangCandidates(demand)) {
    const Slot& slot = m_slots[candidate.slot];
    const int64_t taken =
        std::min({candidate.members, rack_room[slot.rack], left});
    rack_room[slot.rack] -= taken;
    left -= taken;
    placement.workers.insert(placement.workers.end(),
                             static_cast<size_t>(taken), slot.id);
    if (left == 0) {
      return placement;
    }
  }
  return RefuseGang(demand);
}

Refusal Cell::RefuseOne(const TaskDemand& demand) const {
  const Slot* largest_cpu = nullptr;
  const Slot* largest_memory = nullptr;
  const Slot* largest_accelerators = nullptr;
  for (const Slot& slot : m_slots) {
    if (!slot.present) {
      continue;
    }
    if (Fits(demand.size, slot.capacity)) {
      return {RefusalKind::kNotNow, "no live worker has room"};
    }
    const auto keep_larger = [&slot](const Slot*& largest,
                                     int64_t Resources::*amount) {
      if (largest == nullptr ||
          slot.capacity.*amount > largest->capacity.*amount) {
        largest = &slot;
      }
    };
    keep_larger(largest_cpu, &Resources::cpu_millis);
    keep_larger(largest_memory, &Resources::memory_mb);
    keep_larger(largest_accelerators, &Resources::accelerators);
  }
  if (largest_cpu == nullptr) {
    return {RefusalKind::kNotNow, "the cell has no workers"};
  }
  const Resources& size = demand.size;
  if (size.cpu_millis > largest_cpu->capacity.cpu_millis) {
    return {RefusalKind::kNever,
            NeverFitsReason(demand, "cpu_millis", size.cpu_millis,
                            largest_cpu->capacity.cpu_millis, largest_cpu->id)};
  }
  if (size.memory_mb > largest_memory->capacity.memory_mb) {
    return {RefusalKind::kNever,
            NeverFitsReason(demand, "memory_mb", size.memory_mb,
                            largest_memory->capacity.memory_mb,
                            largest_memory->id)};
  }
  if (size.accelerators > largest_accelerators->capacity.accelerators) {
    return {RefusalKind::kNever,
            NeverFitsReason(demand, "accelerators", size.accelerators,
                            largest_accelerators->capacity.accelerators,
                            largest_accelerators->id)};
  }
  return {RefusalKind::kNever,
          "task \"" + demand.id + "\" needs " + ToString(size) +
              ", no single worker has all of it; the largest in cpu_millis is "
              "\"" +
              largest_cpu->id + "\" with " + ToString(largest_cpu->capacity)};
}

Refusal Cell::RefuseGang(const TaskDemand& demand) const {
  const int64_t wanted = MemberCount(demand);
  const int64_t per_rack = demand.rack_spread > 0 ? demand.rack_spread : wanted;
  std::vector<int64_t> rack_room(m_racks.size(), per_rack);
  int64_t most = 0;
  for (const Slot& slot : m_slots) {
    if (!slot.present) {
      continue;
    }
    const int64_t members = std::min(
        CountFitting(demand.size, slot.capacity, wanted), rack_room[slot.rack]);
    rack_room[slot.rack] -= members;
    most += members;
  }
  if (most >= wanted) {
    return {RefusalKind::kNotNow, "not enough live workers have room"};
  }
  if (most == 0) {
    return RefuseOne(demand);
  }
  return {RefusalKind::kNever,
          "gang \"" + demand.id + "\" needs " + std::to_string(wanted) +
              " members of " + ToString(demand.size) +
              " with rack_spread=" + std::to_string(demand.rack_spread) +
              ", the empty cell holds " + std::to_string(most)};
}

bool Cell::Reserve(const Placement& placement, const Resources& size) {
  size_t reserved = 0;
  for (const std::string& worker : placement.workers) {
    Slot* slot = Find(worker);
    if (slot == nullptr || slot->condition != WorkerCondition::kLive ||
        !Fits(size, slot->room)) {
      break;
    }
    slot->room = Subtract(slot->room, size);
    ++reserved;
  }
  if (reserved == placement.workers.size()) {
    return true;
  }
  for (size_t i = 0; i < reserved; ++i) {
    Release(placement.workers[i], size);
  }
  return false;
}

void Cell::Release(std::string_view worker, const Resources& size) {
  Slot* slot = Find(worker);
  if (slot != nullptr) {
    slot->room = Add(slot->room, size);
  }
}

std::optional<WorkerState> Cell::FindWorker(std::string_view id) const {
  const auto found = m_index.find(id);
  if (found == m_index.end()) {
    return std::nullopt;
  }
  return ToState(m_slots[found->second]);
}

std::vector<WorkerState> Cell::Workers() const {
  std::vector<WorkerState> workers;
  workers.reserve(m_index.size());
  for (const Slot& slot : m_slots) {
    if (slot.present) {
      workers.push_back(ToState(slot));
    }
  }
  return workers;
}

Resources Cell::TotalCapacity() const {
  Resources total;
  for (const Slot& slot : m_slots) {
    if (slot.present && slot.condition == WorkerCondition::kLive) {
      total = Add(total, slot.capacity);
    }
  }
  return total;
}

Resources Cell::TotalUsed() const {
  Resources total;
  for (const Slot& slot : m_slots) {
    if (slot.present && slot.condition == WorkerCondition::kLive) {
      total = Add(total, Subtract(slot.capacity, slot.room));
    }
  }
  return total;
}

Cell::Slot* Cell::Find(std::string_view id) {
  const auto found = m_index.find(id);
  return found == m_index.end() ? nullptr : &m_slots[found->second];
}

uint32_t Cell::InternRack(const std::string& rack) {
  const auto [found, added] =
      m_rack_index.emplace(rack, static_cast<uint32_t>(m_racks.size()));
  if (added) {
    m_racks.push_back(rack);
  }
  return found->second;
}

WorkerState Cell::ToState(const Slot& slot) const {
  return {slot.id, m_racks[slot.rack], slot.condition, slot.capacity,
          Subtract(slot.capacity, slot.room)};
}

}  // namespace azurespur::placement
