#include "placement/fit_score.h"

#include <algorithm>

namespace azurespur::placement {
namespace {

double Share(int64_t amount, int64_t capacity) {
  if (capacity <= 0) {
    return 0;
  }
  return static_cast<double>(amount) / static_cast<double>(capacity);
}

// Keeps work without accelerators off workers with free ones.
constexpr double kStrandingPenalty = 10.0;

}  // namespace

double FitScore(const Resources& size,
                const Resources& room,
                const Resources& capacity) {
  const Resources left = Subtract(room, size);
  double score = Share(left.cpu_millis, capacity.cpu_millis) +
                 Share(left.memory_mb, capacity.memory_mb) +
                 Share(left.accelerators, capacity.accelerators);
  if (size.accelerators == 0 && room.accelerators > 0) {
    score += kStrandingPenalty;
  }
  return score;
}

}  // namespace azurespur::placement
