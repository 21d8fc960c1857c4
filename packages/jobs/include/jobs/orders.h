// Orders that the leader sends to workers, and their outcomes.

#ifndef JOBS_ORDERS_H_
#define JOBS_ORDERS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "jobs/stop_reason.h"
#include "jobs/task_ref.h"

namespace azurespur::jobs {

// Whom an order was meant for, and how, where and when it was sent.
struct OrderTarget {
  const WorkerBoot& worker;
  const std::string& address;
  uint64_t fence = 0;
  base::MonoTime sent_at{};
};

struct StartOrder {
  WorkerBoot worker;
  std::string address;
  TaskRef task;
  int32_t run = 0;
  std::string payload;
  int64_t lease_until_ms = 0;  // On the worker's clock.
  uint64_t fence = 0;
  std::string checkpoint;  // Empty: from the beginning.
  std::string ticket;      // Empty: the queue needs none.
  int32_t send_count = 1;  // Sends of this start; repeats are idempotent.
  base::MonoTime sent_at{};
  base::Millis timeout{0};  // For the answer.
};

struct StopOrder {
  WorkerBoot worker;
  std::string address;
  TaskRef task;
  int32_t run = 0;
  uint64_t fence = 0;
  base::Millis timeout{0};  // For the answer.
  StopReason reason = StopReason::kJobOver;
  base::MonoTime sent_at{};
};

// Renews the lease of all runs on the worker and requests its report. It is a
// long poll: the worker answers once a task has ended or `wait` is over.
struct HoldOrder {
  WorkerBoot worker;
  std::string address;
  uint64_t fence = 0;
  int64_t acked_end_number = 0;  // The worker discards ends up to here.
  std::optional<int64_t> lease_until_ms;  // On the worker's clock.
  base::Millis wait{0};                   // Longest wait for an end.
  // For the first byte of the report, after `wait`, and for each later one.
  base::Millis timeout{0};
  // Added to `timeout` at most while other answers fill this VM's link.
  base::Millis max_link_wait{0};
  base::Millis max_transfer{0};  // Of the report; added to `timeout`.
  base::MonoTime sent_at{};
};

// Asks the advice service, through a VM, which workers may run a step.
struct AdviceQuery {
  uint64_t id = 0;
  std::string vm;
  StepRef step;
  std::vector<std::string> workers;
  base::Millis timeout{0};
};

struct AdviceTicket {
  std::string worker;
  std::string ticket;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(worker, ticket);
  }
};

enum class OrderOutcome {
  kAccepted,
  kFenced,        // A later leader has sent orders to the worker.
  kStaleRun,      // The worker has already had this run or a later one.
  kLeaseExpired,  // The order's lease had expired on arrival.
  kNoRoom,        // The worker lacks capacity.
  kBadTicket,     // The advice ticket is not valid.
  kOtherBoot,     // Another boot answered, and did nothing.
  kRefused,       // Refused for another reason; nothing was done.
  kUnknown,       // No answer; the order may take effect, now or later.
};

std::string_view OrderOutcomeName(OrderOutcome outcome);

// A worker's answer to a start.
struct StartAnswer {
  OrderOutcome outcome = OrderOutcome::kUnknown;
  std::optional<int64_t> clock_ms;  // The worker's clock, if it told that.
};

}  // namespace azurespur::jobs

#endif  // JOBS_ORDERS_H_
