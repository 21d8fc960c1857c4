// Options of the request path.

#ifndef FILTERS_REQUEST_SERVICE_OPTIONS_H_
#define FILTERS_REQUEST_SERVICE_OPTIONS_H_

#include <cstddef>
#include <cstdint>
#include <string>

#include "base/clock.h"

namespace azurespur::filters {

// Identifies this process among the entry VMs.
struct RequestIdentity {
  std::string vm_id;
  std::string domain;
  uint64_t incarnation = 0;
};

struct RequestServiceOptions {
  // Capacity of the queue from the HTTP threads to the dispatch thread.
  size_t arrival_queue_size = 8192;
  size_t max_waiting = 20000;  // Requests that wait for a slot.
  size_t max_waiting_bytes = 256 << 20;
  // Maximum time for which an executor works on a request. The slot of an
  // abandoned request is not reused before this time has passed.
  base::Millis max_run{10000};
  // Validity of a slot loan that is not renewed.
  base::Millis slot_loan_duration{1000};
  // Time after startup during which no slot is used, because requests of an
  // earlier incarnation may still be running. 0 derives the value from
  // `slot_loan_duration` and `max_run`.
  base::Millis slot_startup_delay{0};
  base::Millis once_claim_timeout{2000};  // Maximum wait for a claim's record.
  base::Millis once_retention{600000};    // Retention of a key.
  // The log counts as unreachable after this time without contact.
  base::Millis log_silence_limit{1500};
};

}  // namespace azurespur::filters

#endif  // FILTERS_REQUEST_SERVICE_OPTIONS_H_
