// Amounts of the resources that workers provide and tasks need.

#ifndef PLACEMENT_RESOURCES_H_
#define PLACEMENT_RESOURCES_H_

#include <cstdint>
#include <string>

namespace azurespur::placement {

struct Resources {
  int64_t cpu_millis = 0;
  int64_t memory_mb = 0;
  int64_t accelerators = 0;

  friend bool operator==(const Resources&, const Resources&) = default;
};

// True if `demand` is at most `room` in every resource.
inline bool Fits(const Resources& demand, const Resources& room) {
  return demand.cpu_millis <= room.cpu_millis &&
         demand.memory_mb <= room.memory_mb &&
         demand.accelerators <= room.accelerators;
}

Resources Add(const Resources& a, const Resources& b);

// The result may be negative in any resource.
Resources Subtract(const Resources& a, const Resources& b);

// The larger amount of each resource.
Resources Max(const Resources& a, const Resources& b);

// The smaller amount of each resource.
Resources Min(const Resources& a, const Resources& b);

Resources Multiply(const Resources& a, int64_t factor);

// Number of times that `demand` fits into `room`, at most `limit`. An empty
// demand fits `limit` times.
int64_t CountFitting(const Resources& demand,
                     const Resources& room,
                     int64_t limit);

// The ratio of demand to capacity of one resource. It is 1 if the resource is
// demanded but has no capacity.
double ResourceShare(int64_t demand, int64_t capacity);

// The largest ratio of demand to capacity over all resources.
double DominantShare(const Resources& demand, const Resources& capacity);

// Returns `cpu_millis=N memory_mb=N accelerators=N`.
std::string ToString(const Resources& resources);

}  // namespace azurespur::placement

#endif  // PLACEMENT_RESOURCES_H_
