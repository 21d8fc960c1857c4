#include "baselines.h"

#include <memory>
#include <string>
#include <unordered_map>
#include <utility>

namespace azurespur::bench {
namespace {

using placement::Resources;
using placement::TaskDemand;
using placement::WorkerState;

constexpr int kNone = -1;

// Rooms by worker, and gangs member by member.
struct Rooms {
  explicit Rooms(std::span<const WorkerState> workers)
      : states(workers.begin(), workers.end()) {
    for (const WorkerState& worker : workers) {
      rooms.push_back(worker.capacity);
    }
  }

  bool MayTake(int worker, const TaskDemand& demand) const {
    const auto index = static_cast<size_t>(worker);
    if (!placement::Fits(demand.size, rooms[index])) {
      return false;
    }
    const auto found = in_rack.find(states[index].rack);
    return demand.rack_limit == 0 || found == in_rack.end() ||
           found->second < demand.rack_limit;
  }

  template <typename Choose>
  std::optional<std::vector<int>> PlaceAll(const TaskDemand& demand,
                                           Choose choose) {
    in_rack.clear();
    std::vector<int> taken;
    for (int64_t i = 0; i < placement::MemberCount(demand); ++i) {
      const int worker = choose(demand);
      if (worker == kNone) {
        for (const int earlier : taken) {
          Release(earlier, demand.size);
        }
        return std::nullopt;
      }
      const auto index = static_cast<size_t>(worker);
      rooms[index] = placement::Subtract(rooms[index], demand.size);
      ++in_rack[states[index].rack];
      taken.push_back(worker);
    }
    return taken;
  }

  void Release(int worker, const Resources& size) {
    Resources& room = rooms[static_cast<size_t>(worker)];
    room = placement::Add(room, size);
  }

  std::vector<WorkerState> states;
  std::vector<Resources> rooms;
  std::unordered_map<std::string, int64_t> in_rack;
};

int FirstWithRoom(const Rooms& rooms, const TaskDemand& demand, int start) {
  const int count = static_cast<int>(rooms.rooms.size());
  for (int i = 0; i < count; ++i) {
    const int worker = (start + i) % count;
    if (rooms.MayTake(worker, demand)) {
      return worker;
    }
  }
  return kNone;
}

int LessLoaded(const Rooms& rooms, int a, int b) {
  const auto load = [&rooms](int worker) {
    const auto index = static_cast<size_t>(worker);
    const Resources& capacity = rooms.states[index].capacity;
    return placement::DominantShare(
        placement::Subtract(capacity, rooms.rooms[index]), capacity);
  };
  return load(b) < load(a) ? b : a;
}

Policy MakePolicy(std::string_view name,
                  std::shared_ptr<Rooms> rooms,
                  std::function<int(const TaskDemand&)> choose) {
  Policy policy;
  policy.name = name;
  policy.place = [rooms, choose = std::move(choose)](const TaskDemand& demand) {
    return rooms->PlaceAll(demand, choose);
  };
  policy.release = [rooms](int worker, const Resources& size) {
    rooms->Release(worker, size);
  };
  policy.rooms = [rooms] { return rooms->rooms; };
  return policy;
}

}  // namespace

Policy MakeBestFit(std::span<const WorkerState> workers) {
  auto cell = std::make_shared<placement::Cell>();
  auto numbers = std::make_shared<std::unordered_map<std::string, int>>();
  for (const WorkerState& worker : workers) {
    numbers->emplace(worker.id, static_cast<int>(numbers->size()));
    cell->UpdateWorker(worker);
  }
  Policy policy;
  policy.name = "best fit";
  policy.place =
      [cell,
       numbers](const TaskDemand& demand) -> std::optional<std::vector<int>> {
    const placement::Decision decision = cell->Place(demand);
    const auto* found = std::get_if<placement::Placement>(&decision);
    if (found == nullptr || !cell->Reserve(*found, demand.size)) {
      return std::nullopt;
    }
    std::vector<int> taken;
    for (const std::string& worker : found->workers) {
      taken.push_back(numbers->at(worker));
    }
    return taken;
  };
  policy.release = [cell](int worker, const Resources& size) {
    cell->Release("w" + std::to_string(worker), size);
  };
  policy.rooms = [cell] {
    std::vector<Resources> rooms;
    cell->ForEachWorker([&rooms](const placement::WorkerView& worker) {
      rooms.push_back(worker.room);
    });
    return rooms;
  };
  return policy;
}

Policy MakeFirstFit(std::span<const WorkerState> workers) {
  auto rooms = std::make_shared<Rooms>(workers);
  return MakePolicy("first fit", rooms, [rooms](const TaskDemand& demand) {
    return FirstWithRoom(*rooms, demand, 0);
  });
}

Policy MakeRandomOfTwo(std::span<const WorkerState> workers, uint64_t seed) {
  auto rooms = std::make_shared<Rooms>(workers);
  auto random = std::make_shared<Random>(seed);
  return MakePolicy(
      "random of two", rooms, [rooms, random](const TaskDemand& demand) {
        const auto count = rooms->rooms.size();
        const int first = FirstWithRoom(*rooms, demand,
                                        static_cast<int>((*random)() % count));
        const int second = FirstWithRoom(*rooms, demand,
                                         static_cast<int>((*random)() % count));
        return first == kNone ? kNone : LessLoaded(*rooms, first, second);
      });
}

}  // namespace azurespur::bench
