// Requests of the discrete simulation, made from a printed seed.

#ifndef BENCH_REQUESTS_WORKLOAD_H_
#define BENCH_REQUESTS_WORKLOAD_H_

#include <cstdint>
#include <string>
#include <vector>

#include "base/clock.h"
#include "control/allowance.h"

namespace azurespur::bench {

struct WorkloadOptions {
  uint64_t seed = 1;
  int executors = 16;
  int slots = 8;
  int vms = 3;
  double load = 0.8;  // Of all slots, outside the crests.
  double crest_factor = 3;
  double median_ms = 20;
  double spread = 0.3;  // Sigma of the log-normal run times.
  double straggler_share = 0.02;
  double straggler_factor = 50;  // Of the median.
  double warm_up_s = 10;
  double base_s = 30;
  int crests = 4;
  double crest_s = 5;     // Without its ramps.
  double between_s = 10;  // Between two crests.
  double ramp_s = 1;
  // Rate that the previews' allowance grants, of their rate at the base load.
  // Previews over it are refused before any policy sees them.
  double preview_allowance = 1.25;
};

enum class Phase { kWarmUp, kBase, kRamp, kCrest, kAfter };

struct SimRequest {
  base::MonoTime arrival{};
  base::MonoTime deadline{};
  base::Micros run{};
  control::RequestClass request_class = control::RequestClass::kInteractive;
  bool straggler = false;
  Phase phase = Phase::kWarmUp;
  int vm = 0;  // To which the balancer sent it.
  std::string plan;
};

std::vector<SimRequest> MakeWorkload(const WorkloadOptions& options);

// Mean run time of the workload's requests.
double MeanRunMillis(const WorkloadOptions& options);

// Length of all crests without their ramps.
double CrestSeconds(const WorkloadOptions& options);

}  // namespace azurespur::bench

#endif  // BENCH_REQUESTS_WORKLOAD_H_
