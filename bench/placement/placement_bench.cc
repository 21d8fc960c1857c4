// Measures placement decisions: bench_placement [SEED]

#include <cstdint>
#include <cstdlib>

#include "cells.h"
#include "packing.h"
#include "queueing.h"
#include "rates.h"

namespace {

constexpr uint64_t kDefaultSeed = 20261204;

}  // namespace

int main(int argc, char** argv) {
  const uint64_t seed =
      argc > 1 ? std::strtoull(argv[1], nullptr, 10) : kDefaultSeed;
  azurespur::bench::MeasureRates(seed);
  azurespur::bench::MeasureQueueing(seed);
  azurespur::bench::MeasurePacking(azurespur::bench::kSmallCell, seed);
  azurespur::bench::MeasurePacking(azurespur::bench::kLargeCell, seed);
  return 0;
}
