// Measures how many starts a second the scheduler decides, and what each
// running task and worker costs in memory.

#ifndef BENCH_PLACEMENT_RATES_H_
#define BENCH_PLACEMENT_RATES_H_

#include <cstdint>

namespace azurespur::bench {

void MeasureRates(uint64_t seed);

}  // namespace azurespur::bench

#endif  // BENCH_PLACEMENT_RATES_H_
