// The logic of the dispatch thread: passes each request through the rate
// limits, the claim of its idempotency key, the wait queue and a slot to an
// executor. All methods must be called on that thread; other threads use the
// Mailbox.

#ifndef FILTERS_DISPATCHER_H_
#define FILTERS_DISPATCHER_H_

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/clock.h"
#include "control/slot_controller.h"
#include "dispatch_core.h"
#include "filters/request_service.h"
#include "mailbox.h"
#include "once_filter.h"
#include "rate_limits.h"

namespace azurespur::base {
class Counter;
class Distribution;
}  // namespace azurespur::base

namespace azurespur::filters {

class Dispatcher {
 public:
  Dispatcher(const RequestServiceDeps& deps,
             std::shared_ptr<Mailbox> mailbox,
             std::atomic<size_t>& open);

  // Waits up to `wait` for an event and handles all pending events.
  void RunOnce(base::Millis wait);

  // Refuses all waiting requests and answers those that were sent to an
  // executor as may-have-run.
  void Shutdown();

  nlohmann::json Describe() const;

 private:
  // A request that has not been answered.
  struct OpenRequest {
    CallerRequest request;
    std::shared_ptr<http::HttpReply> reply;
    WorkItem item;
    size_t max_waiting = 0;
    std::string claim_id;  // The claim that won; empty if there is none.
  };
  // An active attempt. Outlives its request if the request's deadline passes.
  struct SentAttempt {
    uint64_t handle = 0;
    size_t executor = 0;
    std::string key;
    std::string claim_id;
  };

  void AcceptArrival(Arrival arrival, base::MonoTime now);
  void Admit(uint64_t handle, base::MonoTime now);
  void RunPeriodicWork(base::MonoTime now);
  void UpdateExecutors();
  void ReportChanges(base::MonoTime now);
  void TakeOnceDecisions(base::MonoTime now);
  void OnDecision(OnceDecision decision, base::MonoTime now);
  void OnAttemptDone(AttemptDone done, base::MonoTime now);
  void SendReady();
  void Send(const Attempt& attempt, base::MonoTime now);
  void Refuse(uint64_t handle, const Refusal& refusal, base::MonoTime now);
  void CloseExpired(base::MonoTime now);
  size_t LiveVms() const;

  const RequestServiceDeps m_deps;
  const std::shared_ptr<Mailbox> m_mailbox;
  std::atomic<size_t>& m_open_count;
  control::SlotController m_slots;
  DispatchCore m_core;
  RateLimits m_limits;
  OnceFilter m_once;
  std::unordered_map<uint64_t, OpenRequest> m_open_requests;  // By handle.
  std::unordered_map<uint64_t, SentAttempt> m_sent_attempts;  // By attempt.
  size_t m_body_bytes = 0;
  size_t m_live_vms = 1;
  uint64_t m_next_handle = 1;
  base::MonoTime m_next_periodic{};
  std::shared_ptr<const services::VmListPage> m_vms;
  std::vector<bool> m_reported_ejected;  // By executor.
  bool m_reported_slots = false;
  bool m_reported_no_slots = false;
  base::Counter& m_ran;
  base::Distribution& m_preview_wait;
  base::Distribution& m_other_wait;
};

}  // namespace azurespur::filters

#endif  // FILTERS_DISPATCHER_H_
