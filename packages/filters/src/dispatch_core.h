// Decides which request runs next and on which executor, and whether a failed
// request is retried. A pure state machine: no threads, no clock, no I/O.

#ifndef FILTERS_DISPATCH_CORE_H_
#define FILTERS_DISPATCH_CORE_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/clock.h"
#include "control/slot_share.h"
#include "executor_health.h"
#include "filters/fate.h"
#include "refusal.h"
#include "retry_budget.h"
#include "run_times.h"
#include "wait_queue.h"
#include "work_item.h"

namespace azurespur::filters {

struct DispatchOptions {
  size_t max_waiting = 20000;
  int preview_reserve = 2;    // Idle slots reserved for previews.
  double bulk_share = 0.75;   // Share of the slots usable by bulk requests.
  double long_run_ms = 1000;  // Plans with a longer median are bulk.
  uint32_t max_attempts = 3;
  double retry_share = 0.1;   // Retries per first attempt.
  double hedge_share = 0.02;  // Hedges per first attempt.
  double hedge_factor = 3;    // Hedge after this multiple of the p95.
  double min_hedge_delay_ms = 5;
  base::Millis max_run{10000};
  base::Millis margin{50};
  HealthOptions health;
};

struct ExecutorInfo {
  std::string id;
  std::string address;
  int slots = 0;
  bool leaving = false;
};

// One transmission of a request to an executor.
struct Attempt {
  uint64_t id = 0;
  uint64_t handle = 0;  // Of the request.
  std::string plan;
  control::RequestClass request_class = control::RequestClass::kInteractive;
  control::SlotId slot;
  base::MonoTime sent{};
  bool hedge = false;
};

enum class AttemptOutcome {
  kRan,
  kNotRun,
  kLeaving,
  kFailed,  // Answered without a result: may have run, no longer runs.
  kLost,    // No valid answer: may have run and may still be running.
};

// What the dispatcher does with a request after one of its attempts ended.
enum class RequestAction {
  kAnswer,  // Send the executor's answer; the request is closed.
  kRefuse,  // Refuse with refusal_fate(); the request is closed.
  kWait,    // The request is queued again or has another active attempt.
  kNone,    // The request was closed before.
};

// A request to be answered with `refusal`.
struct ClosedRequest {
  uint64_t handle = 0;
  Refusal refusal;
};

class DispatchCore {
 public:
  DispatchCore(const DispatchOptions& options, control::SlotShare& slots);

  void SetExecutors(std::span<const ExecutorInfo> executors);

  // Queues the request, or returns a refusal. `max_waiting` limits the waiting
  // requests of its allowance.
  std::optional<Refusal> Admit(WorkItem item,
                               size_t max_waiting,
                               base::MonoTime now);

  // Returns the next request to send, with a slot acquired for it. The caller
  // must send it at once.
  std::optional<Attempt> Next(base::MonoTime now);

  // Returns a second, concurrent attempt of an idempotent request that has been
  // running unusually long.
  std::optional<Attempt> NextHedge(base::MonoTime now);

  // Must be called exactly once for each attempt that was sent.
  RequestAction OnAttemptEnded(uint64_t attempt,
                               AttemptOutcome outcome,
                               base::MonoTime now);

  // Cancels an attempt that was not sent and closes its request.
  void CancelUnsent(uint64_t attempt);

  // Removes and returns the requests whose deadline has passed. Active attempts
  // keep their slots.
  std::vector<ClosedRequest> TakeExpired(base::MonoTime now);

  // Removes and returns all waiting requests, at shutdown.
  std::vector<ClosedRequest> TakeWaiting();

  // Fate of the request for which OnAttemptEnded() last returned kRefuse.
  Fate refusal_fate() const { return m_refusal_fate; }
  const std::string& AddressOf(size_t executor) const;
  const std::string& IdOf(size_t executor) const;
  // Returns the class under which the request is queued.
  control::RequestClass EffectiveClass(const WorkItem& item) const;

  const WaitQueue& queue() const { return m_queue; }
  const HealthTable& health() const { return m_health; }
  const RunTimes& run_times() const { return m_run_times; }
  size_t in_flight() const { return m_attempts.size(); }

 private:
  // A request that was admitted and is not closed.
  struct Request {
    WorkItem item;
    uint32_t attempt_count = 0;
    uint32_t active_attempts = 0;
    bool may_have_run = false;
    bool waiting = false;
    std::optional<size_t> last_failed_executor;
  };
  // Time between the dispatches of one class while requests of it wait.
  struct DispatchInterval {
    double mean_ms = 0;  // Exponentially weighted; 0 if unknown.
    // Zero if no request of the class waited after the last dispatch.
    base::MonoTime last_dispatch{};
  };
  struct Target {
    std::string id;
    std::string address;
    // Not used until then, after the executor answered that it is leaving.
    base::MonoTime leaving_until{};
  };

  std::optional<Refusal> CheckWait(const WorkItem& item, base::MonoTime now);
  std::optional<control::RequestClass> PickClass();
  void RecordDispatch(const WorkItem& item, base::MonoTime now);
  double FullCapacityIntervalMillis(const std::string& plan) const;
  double ExpectedWaitMillis(const WorkItem& item) const;
  std::optional<size_t> PickExecutor(base::MonoTime now,
                                     const Request& request,
                                     std::optional<size_t> except);
  bool MayTakeSlot(control::RequestClass request_class) const;
  void UpdateSlotCounts(base::MonoTime now);
  Attempt Begin(Request& request,
                control::SlotId slot,
                bool hedge,
                base::MonoTime now);
  void RecordOutcome(const Attempt& attempt,
                     AttemptOutcome outcome,
                     base::MonoTime now);
  RequestAction RetryOrRefuse(Request& request, AttemptOutcome outcome);
  void Requeue(Request& request);

  const DispatchOptions m_options;
  control::SlotShare& m_slots;
  std::vector<Target> m_targets;  // Indexed like SlotShare's executors.
  WaitQueue m_queue;
  RunTimes m_run_times;
  HealthTable m_health;
  RetryBudget m_retry_budget;
  RetryBudget m_hedge_budget;
  std::unordered_map<uint64_t, Request> m_requests;  // By handle.
  std::unordered_map<uint64_t, Attempt> m_attempts;
  std::map<std::string, size_t> m_waiting_by_allowance;
  std::multimap<base::MonoTime, uint64_t> m_sent_deadlines;
  std::array<DispatchInterval, kRequestClasses> m_dispatch_intervals;
  uint64_t m_next_attempt = 1;
  uint64_t m_turn = 0;
  size_t m_next_executor = 0;
  int m_idle = 0;
  int m_capacity = 0;
  int m_bulk_in_use = 0;
  Fate m_refusal_fate = Fate::kNotRun;
};

}  // namespace azurespur::filters

#endif  // FILTERS_DISPATCH_CORE_H_
