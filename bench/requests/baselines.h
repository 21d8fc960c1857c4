// Policies to compare with. Each VM acts on what it knows by itself.

#ifndef BENCH_REQUESTS_BASELINES_H_
#define BENCH_REQUESTS_BASELINES_H_

#include <vector>

#include "requests/simulation.h"
#include "requests/workload.h"

namespace azurespur::bench {

// One FIFO queue whose head draws a random executor and is sent when that
// executor has a free slot. The queue is shared by all VMs and knows the true
// state of the executors, which flatters it.
SimReport RunFifoRandom(const WorkloadOptions& options,
                        const std::vector<SimRequest>& requests);

// Each request goes to a random executor at once and waits there, first in
// first out.
SimReport RunRandomAtOnce(const WorkloadOptions& options,
                          const std::vector<SimRequest>& requests);

// Each request goes at once to the executor with the fewest open requests of
// its own VM, and waits there.
SimReport RunLeastConnections(const WorkloadOptions& options,
                              const std::vector<SimRequest>& requests);

}  // namespace azurespur::bench

#endif  // BENCH_REQUESTS_BASELINES_H_
