#include "placement/resources.h"

#include <algorithm>

namespace azurespur::placement {
namespace {

int64_t CountOne(int64_t demand, int64_t room, int64_t limit) {
  if (demand <= 0) {
    return limit;
  }
  return std::clamp<int64_t>(room / demand, 0, limit);
}

}  // namespace

Resources Add(const Resources& a, const Resources& b) {
  return {a.cpu_millis + b.cpu_millis, a.memory_mb + b.memory_mb,
          a.accelerators + b.accelerators};
}

Resources Subtract(const Resources& a, const Resources& b) {
  return {a.cpu_millis - b.cpu_millis, a.memory_mb - b.memory_mb,
          a.accelerators - b.accelerators};
}

Resources Max(const Resources& a, const Resources& b) {
  return {std::max(a.cpu_millis, b.cpu_millis),
          std::max(a.memory_mb, b.memory_mb),
          std::max(a.accelerators, b.accelerators)};
}

Resources Min(const Resources& a, const Resources& b) {
  return {std::min(a.cpu_millis, b.cpu_millis),
          std::min(a.memory_mb, b.memory_mb),
          std::min(a.accelerators, b.accelerators)};
}

Resources Multiply(const Resources& a, int64_t factor) {
  return {a.cpu_millis * factor, a.memory_mb * factor, a.accelerators * factor};
}

int64_t CountFitting(const Resources& demand,
                     const Resources& room,
                     int64_t limit) {
  if (!Fits(demand, room)) {
    return 0;
  }
  int64_t count = CountOne(demand.cpu_millis, room.cpu_millis, limit);
  count = std::min(count, CountOne(demand.memory_mb, room.memory_mb, limit));
  return std::min(count,
                  CountOne(demand.accelerators, room.accelerators, limit));
}

double ResourceShare(int64_t demand, int64_t capacity) {
  if (demand <= 0) {
    return 0;
  }
  if (capacity <= 0) {
    return 1;
  }
  return static_cast<double>(demand) / static_cast<double>(capacity);
}

double DominantShare(const Resources& demand, const Resources& capacity) {
  return std::max({ResourceShare(demand.cpu_millis, capacity.cpu_millis),
                   ResourceShare(demand.memory_mb, capacity.memory_mb),
                   ResourceShare(demand.accelerators, capacity.accelerators)});
}

std::string ToString(const Resources& resources) {
  return "cpu_millis=" + std::to_string(resources.cpu_millis) +
         " memory_mb=" + std::to_string(resources.memory_mb) +
         " accelerators=" + std::to_string(resources.accelerators);
}

}  // namespace azurespur::placement
