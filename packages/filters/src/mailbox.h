// Queues from other threads to the dispatch thread.

#ifndef FILTERS_MAILBOX_H_
#define FILTERS_MAILBOX_H_

#include <glog/logging.h>

#include <atomic>
#include <cstddef>
#include <memory>
#include <utility>
#include <variant>

#include "base/clock.h"
#include "base/ring.h"
#include "decode.h"
#include "http/http_server.h"
#include "once_filter.h"
#include "services/executor_client.h"

namespace azurespur::filters {

// A decoded request with the allowance of its plan.
struct Arrival {
  CallerRequest request;
  std::shared_ptr<http::HttpReply> reply;
  control::Allowance allowance;
  base::MonoTime arrived{};
};

struct AttemptDone {
  uint64_t attempt = 0;
  services::ExecutorAnswer answer;
};

using Completion = std::variant<AttemptDone, OnceEvent>;

struct Mailbox {
  // The number of completions is bounded by the slots and the pending claims,
  // so a full completion ring is a bug. Arrivals are rejected if their ring is
  // full.
  Mailbox(size_t max_arrivals, size_t max_completions)
      : arrivals(max_arrivals), completions(max_completions) {}

  void PostCompletion(Completion completion) {
    CHECK(completions.Push(std::move(completion))) << "completions ring full";
    arrivals.Wake();
  }

  void OnPeerMessage() {
    peer_message_received.store(true, std::memory_order_release);
    arrivals.Wake();
  }

  base::Ring<Arrival> arrivals;
  base::Ring<Completion> completions;
  std::atomic<bool> peer_message_received{false};
};

}  // namespace azurespur::filters

#endif  // FILTERS_MAILBOX_H_
