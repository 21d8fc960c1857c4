// Handling of ended attempts in DispatchCore.

#include <glog/logging.h>

#include "dispatch_core.h"

namespace azurespur::filters {

namespace {

using control::RequestClass;

constexpr base::Millis kLeavingHoldOff{10000};
constexpr double kMillisPerMicro = 0.001;

}  // namespace

// Releases or abandons the slot and updates the executor's health.
void DispatchCore::RecordOutcome(const Attempt& attempt,
                                 AttemptOutcome outcome,
                                 base::MonoTime now) {
  const size_t executor = attempt.slot.executor;
  m_bulk_in_use -= attempt.request_class == RequestClass::kBulk ? 1 : 0;
  const double run_ms =
      static_cast<double>((now - attempt.sent).count()) * kMillisPerMicro;
  if (outcome == AttemptOutcome::kLost) {
    m_slots.Abandon(attempt.slot,
                    attempt.sent + m_options.max_run + m_options.margin);
  } else {
    m_slots.Release(attempt.slot);
  }
  switch (outcome) {
    case AttemptOutcome::kRan:
      m_health.OnRan(executor, run_ms, now);
      m_run_times.Observe(attempt.plan, run_ms);
      break;
    case AttemptOutcome::kLeaving:
      m_targets[executor].leaving_until = now + kLeavingHoldOff;
      m_health.OnInconclusive(executor);
      break;
    case AttemptOutcome::kNotRun:
    case AttemptOutcome::kFailed:
    case AttemptOutcome::kLost:
      m_health.OnFailed(executor, now);
      break;
  }
}

RequestAction DispatchCore::OnAttemptEnded(uint64_t attempt_id,
                                           AttemptOutcome outcome,
                                           base::MonoTime now) {
  const auto node = m_attempts.extract(attempt_id);
  CHECK(!node.empty()) << "attempt " << attempt_id << " ended twice";
  const Attempt& attempt = node.mapped();
  RecordOutcome(attempt, outcome, now);
  const auto found = m_requests.find(attempt.handle);
  if (found == m_requests.end()) {
    return RequestAction::kNone;
  }
  Request& request = found->second;
  --request.active_attempts;
  if (outcome == AttemptOutcome::kRan) {
    m_requests.erase(found);
    return RequestAction::kAnswer;
  }
  request.may_have_run = request.may_have_run ||
                         outcome == AttemptOutcome::kLost ||
                         outcome == AttemptOutcome::kFailed;
  request.last_failed_executor = attempt.slot.executor;
  return RetryOrRefuse(request, outcome);
}

// A request is retried only if it is idempotent or certainly did not run.
RequestAction DispatchCore::RetryOrRefuse(Request& request,
                                          AttemptOutcome outcome) {
  if (request.active_attempts > 0) {
    return RequestAction::kWait;
  }
  const bool safe = request.item.idempotent || !request.may_have_run;
  // A leaving executor refuses without running the request, so that retry adds
  // no load and is not counted against the budget.
  const bool within_budget =
      outcome == AttemptOutcome::kLeaving || m_retry_budget.TryTake();
  if (safe && request.attempt_count < m_options.max_attempts && within_budget) {
    Requeue(request);
    return RequestAction::kWait;
  }
  m_refusal_fate = request.may_have_run ? Fate::kMayHaveRun : Fate::kNotRun;
  m_requests.erase(request.item.handle);
  return RequestAction::kRefuse;
}

void DispatchCore::Requeue(Request& request) {
  request.waiting = true;
  ++m_waiting_by_allowance[request.item.allowance];
  const auto [first, last] =
      m_sent_deadlines.equal_range(request.item.deadline);
  for (auto it = first; it != last; ++it) {
    if (it->second == request.item.handle) {
      m_sent_deadlines.erase(it);
      break;
    }
  }
  m_queue.Push(request.item);
  m_slots.SetWaiting(m_queue.size());
}

void DispatchCore::CancelUnsent(uint64_t attempt_id) {
  const auto node = m_attempts.extract(attempt_id);
  CHECK(!node.empty()) << "attempt " << attempt_id << " ended twice";
  m_slots.Release(node.mapped().slot);
  m_health.OnInconclusive(node.mapped().slot.executor);
  m_bulk_in_use -= node.mapped().request_class == RequestClass::kBulk ? 1 : 0;
  m_requests.erase(node.mapped().handle);
}

}  // namespace azurespur::filters
