// Measures how long short work waits behind long work.

#ifndef BENCH_PLACEMENT_QUEUEING_H_
#define BENCH_PLACEMENT_QUEUEING_H_

#include <cstdint>

namespace azurespur::bench {

// The scheduler against first in, first out on one trace.
void MeasureQueueing(uint64_t seed);

}  // namespace azurespur::bench

#endif  // BENCH_PLACEMENT_QUEUEING_H_
