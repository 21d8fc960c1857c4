#include "placement/fit_score.h"

namespace azurespur::placement {
namespace {

double Reciprocal(int64_t capacity) {
  return capacity > 0 ? 1.0 / static_cast<double>(capacity) : 0;
}

}  // namespace

ShareScale MakeShareScale(const Resources& capacity) {
  return {Reciprocal(capacity.cpu_millis), Reciprocal(capacity.memory_mb),
          Reciprocal(capacity.accelerators)};
}

}  // namespace azurespur::placement
