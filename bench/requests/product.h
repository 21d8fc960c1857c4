// The product's own dispatch and slot sharing, in virtual time.

#ifndef BENCH_REQUESTS_PRODUCT_H_
#define BENCH_REQUESTS_PRODUCT_H_

#include <vector>

#include "requests/simulation.h"
#include "requests/workload.h"

namespace azurespur::bench {

SimReport RunProduct(const WorkloadOptions& options,
                     const std::vector<SimRequest>& requests);

}  // namespace azurespur::bench

#endif  // BENCH_REQUESTS_PRODUCT_H_
