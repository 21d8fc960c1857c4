// Orders that the leader sends to workers, and how they end.

#ifndef JOBS_ORDERS_H_
#define JOBS_ORDERS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "jobs/task_ref.h"

namespace azurespur::jobs {

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
  int32_t send_count = 1;  // Of this run; a repeat has no second effect.
};

struct StopOrder {
  WorkerBoot worker;
  std::string address;
  TaskRef task;
  int32_t run = 0;
  uint64_t fence = 0;
};

// Renews the lease of all that runs and asks for the worker's report.
struct HoldOrder {
  WorkerBoot worker;
  std::string address;
  uint64_t fence = 0;
  int64_t acked_end_number = 0;           // The worker forgets ends up to here.
  std::optional<int64_t> lease_until_ms;  // On the worker's clock.
  base::Millis wait{0};                   // The answer waits for an end.
  base::MonoTime sent_at{};
};

// Asks the advice service, from a VM, which workers may run a step.
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
  kFenced,        // A later leader was here.
  kStaleRun,      // This run, or a later one, was here before.
  kLeaseExpired,  // The lease was over when the order came.
  kNoRoom,        // The worker has no room for it.
  kBadTicket,     // The advice ticket is not valid.
  kOtherBoot,     // The worker was started again.
  kRefused,       // The worker did nothing, for another reason.
  kUnknown,       // No answer; the order may be carried out, now or later.
};

std::string_view OrderOutcomeName(OrderOutcome outcome);

}  // namespace azurespur::jobs

#endif  // JOBS_ORDERS_H_
