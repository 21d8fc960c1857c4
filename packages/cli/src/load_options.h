// What `azurespur load` sends.

#ifndef CLI_LOAD_OPTIONS_H_
#define CLI_LOAD_OPTIONS_H_

#include <cstdint>
#include <string>
#include <vector>

namespace azurespur::cli {

struct LoadOptions {
  double requests_per_s = 50;
  double tasks_per_s = 0;
  double swing = 1;
  int64_t swing_period_ms = 2000;
  int64_t duration_ms = 10000;
  int64_t settle_ms = 30000;  // Wait for the ends of accepted tasks.
  size_t max_in_flight = 4096;
  uint64_t seed = 1;
  std::vector<std::string> plans;
  double non_idempotent_share = 0;  // Of requests and tasks.
  int64_t deadline_ms = 10000;
  int64_t service_ms = 0;  // 0: the executor's own distribution.
  int64_t run_ms = 500;    // Of tasks.
  int64_t cpu_millis = 100;
  int64_t memory_mb = 64;
  std::string history;  // File; empty: none.
};

}  // namespace azurespur::cli

#endif  // CLI_LOAD_OPTIONS_H_
