// Measures decision time and packing of placement policies on one trace.

#ifndef BENCH_PLACEMENT_PACKING_H_
#define BENCH_PLACEMENT_PACKING_H_

#include <cstdint>

#include "cells.h"

namespace azurespur::bench {

void MeasurePacking(const CellShape& shape, uint64_t seed);

}  // namespace azurespur::bench

#endif  // BENCH_PLACEMENT_PACKING_H_
