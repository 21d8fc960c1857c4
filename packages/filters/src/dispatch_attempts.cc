// What the end of an attempt means: the second half of DispatchCore.

#include <glog/logging.h>

#include "dispatch_core.h"

namespace azurespur::filters {

namespace {

using control::RequestClass;

constexpr base::Millis kLeavingPause{10000};
constexpr double kMillisPerMicro = 0.001;

}  // namespace

// Frees the slot and judges the executor.
void DispatchCore::Settle(const Attempt& attempt,
                          AttemptEnd end,
                          base::MonoTime now) {
  const size_t executor = attempt.slot.executor;
  m_bulk_in_use -= attempt.request_class == RequestClass::kBulk ? 1 : 0;
  const double run_ms =
      static_cast<double>((now - attempt.sent).count()) * kMillisPerMicro;
  if (end == AttemptEnd::kLost) {
    m_slots.Abandon(attempt.slot,
                    attempt.sent + m_options.max_run + m_options.margin);
  } else {
    m_slots.Release(attempt.slot);
  }
  switch (end) {
    case AttemptEnd::kRan:
      m_health.OnRan(executor, run_ms, now);
      m_run_times.Observe(attempt.plan, run_ms);
      break;
    case AttemptEnd::kLeaving:
      m_targets[executor].refused_until = now + kLeavingPause;
      m_health.OnNeutral(executor);
      break;
    case AttemptEnd::kNotRun:
    case AttemptEnd::kFailed:
    case AttemptEnd::kLost:
      m_health.OnFailed(executor, now);
      break;
  }
}

RequestStep DispatchCore::Ended(uint64_t attempt_id,
                                AttemptEnd end,
                                base::MonoTime now) {
  const auto node = m_attempts.extract(attempt_id);
  CHECK(!node.empty()) << "attempt " << attempt_id << " ended twice";
  const Attempt& attempt = node.mapped();
  Settle(attempt, end, now);
  const auto found = m_requests.find(attempt.handle);
  if (found == m_requests.end()) {
    return RequestStep::kIgnored;
  }
  Request& request = found->second;
  --request.under_way;
  if (end == AttemptEnd::kRan) {
    m_requests.erase(found);
    return RequestStep::kAnswer;
  }
  request.may_have_run = request.may_have_run || end == AttemptEnd::kLost ||
                         end == AttemptEnd::kFailed;
  request.failed_on = attempt.slot.executor;
  return AfterFailure(request, end);
}

// A request is sent again only if it is idempotent or was surely not run.
RequestStep DispatchCore::AfterFailure(Request& request, AttemptEnd end) {
  if (request.under_way > 0) {
    return RequestStep::kGoesOn;
  }
  const bool safe = request.item.idempotent || !request.may_have_run;
  // An executor that leaves costs it no work.
  const bool within_budget = end == AttemptEnd::kLeaving || m_retries.Take();
  if (safe && request.attempts < m_options.max_attempts && within_budget) {
    Requeue(request);
    return RequestStep::kGoesOn;
  }
  m_last_fate = request.may_have_run ? Fate::kMayHaveRun : Fate::kNotRun;
  m_requests.erase(request.item.handle);
  return RequestStep::kRefuse;
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

void DispatchCore::Withdraw(uint64_t attempt_id) {
  const auto node = m_attempts.extract(attempt_id);
  CHECK(!node.empty()) << "attempt " << attempt_id << " ended twice";
  m_slots.Release(node.mapped().slot);
  m_health.OnNeutral(node.mapped().slot.executor);
  m_bulk_in_use -= node.mapped().request_class == RequestClass::kBulk ? 1 : 0;
  m_requests.erase(node.mapped().handle);
}

}  // namespace azurespur::filters
