// Settings of the request path.

#ifndef FILTERS_REQUEST_SERVICE_OPTIONS_H_
#define FILTERS_REQUEST_SERVICE_OPTIONS_H_

#include <cstddef>
#include <cstdint>
#include <string>

#include "base/clock.h"

namespace azurespur::filters {

// Who this process is.
struct RequestIdentity {
  std::string vm_id;
  std::string domain;
  uint64_t incarnation = 0;
};

struct RequestServiceOptions {
  size_t arrival_queue_size = 8192;  // Requests between callers and dispatch.
  size_t max_waiting = 20000;        // Requests that wait for a slot.
  size_t max_waiting_bytes = 256 << 20;
  // Longest time that an executor works on a request. A slot whose request was
  // given up is used again only after this time.
  base::Millis max_run{10000};
  base::Millis slot_loan_duration{
      1000};  // Life of a lent slot without renewal.
  // Time after a start in which requests of an earlier incarnation may still
  // run. 0 derives it from `slot_loan_duration` and `max_run`.
  base::Millis slot_startup_delay{0};
  base::Millis once_claim_timeout{2000};  // Wait for a claim's record.
  base::Millis once_retention{600000};    // Life of a key.
  base::Millis log_silence_limit{1500};   // Log counts as away after this.
};

}  // namespace azurespur::filters

#endif  // FILTERS_REQUEST_SERVICE_OPTIONS_H_
