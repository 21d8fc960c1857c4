#include "placement/fit_score.h"

namespace azurespur::placement {
namespace {

// Keeps work without accelerators off workers with free ones.
constexpr double kStrandingPenalty = 10.0;

double Share(int64_t amount, int64_t capacity) {
  if (capacity <= 0) {
    return 0;
  }
  return static_cast<double>(amount) / static_cast<double>(capacity);
}

// How far processors and memory are from being free in equal shares. Squared,
// so that a large imbalance is undone before a small one.
double Imbalance(const Resources& room, const Resources& capacity) {
  const double difference = Share(room.cpu_millis, capacity.cpu_millis) -
                            Share(room.memory_mb, capacity.memory_mb);
  return difference * difference;
}

}  // namespace

double FitScore(const Resources& size,
                const Resources& room,
                const Resources& capacity) {
  const Resources left = Subtract(room, size);
  const double change = Imbalance(left, capacity) - Imbalance(room, capacity);
  if (size.accelerators > 0) {
    return change + Share(left.accelerators, capacity.accelerators);
  }
  return room.accelerators > 0 ? change + kStrandingPenalty : change;
}

}  // namespace azurespur::placement
