#include "dispatch_core.h"

#include <algorithm>
#include <utility>

namespace azurespur::filters {

namespace {

using control::RequestClass;

// Number of dispatches after which the lower classes come first once, so that
// previews can't starve them.
constexpr uint64_t kLowerClassPeriodTurns = 16;
// Number of dispatches after which bulk requests come before interactive ones
// once.
constexpr uint64_t kBulkPeriodTurns = 5;
constexpr base::Millis kNoSlotsRetryAfter{1000};
// Weight of the newest interval in the mean.
constexpr double kIntervalWeight = 0.02;
constexpr double kRunMargin = 1.25;  // Of the longest recent run. Unused.
// Share of the time to the deadline that is reserved for the run, at most.
constexpr double kMaxRunShare = 0.5;
constexpr double kMaxStoredRetries = 20;
constexpr double kMillisPerMicro = 0.001;
constexpr double kMicrosPerMilli = 1000;

Refusal BusyRefusal(std::string error,
                    std::string reason,
                    base::Millis retry_after) {
  Refusal refusal;
  refusal.status = 503;
  refusal.error = std::move(error);
  refusal.reason = std::move(reason);
  refusal.retry_after = retry_after;
  return refusal;
}

Refusal DeadlineRefusal(bool may_have_run) {
  Refusal refusal;
  refusal.status = may_have_run ? 504 : 503;
  refusal.error = "deadline";
  refusal.fate = may_have_run ? Fate::kMayHaveRun : Fate::kNotRun;
  refusal.reason = may_have_run
                       ? "the deadline passed while an executor had the request"
                       : "the request waited until too little time was left";
  if (!may_have_run) {
    refusal.retry_after = kNoSlotsRetryAfter;
  }
  return refusal;
}

}  // namespace

DispatchCore::DispatchCore(const DispatchOptions& options,
                           control::SlotShare& slots)
    : m_options(options),
      m_slots(slots),
      m_health(options.health),
      m_retry_budget(options.retry_share, kMaxStoredRetries),
      m_hedge_budget(options.hedge_share, kMaxStoredRetries) {}

void DispatchCore::SetExecutors(std::span<const ExecutorInfo> executors) {
  std::vector<control::ExecutorSlots> slots;
  for (const ExecutorInfo& executor : executors) {
    slots.push_back({executor.id, executor.slots});
  }
  m_slots.SetExecutors(slots);
  for (size_t i = 0; i < m_targets.size(); ++i) {
    m_health.SetPresent(i, false);
  }
  for (const ExecutorInfo& executor : executors) {
    const size_t index = *m_slots.IndexOf(executor.id);
    if (index >= m_targets.size()) {
      m_targets.resize(index + 1);
    }
    m_targets[index].id = executor.id;
    m_targets[index].address = executor.address;
    m_health.SetPresent(index, !executor.leaving);
  }
}

RequestClass DispatchCore::EffectiveClass(const WorkItem& item) const {
  return m_run_times.IsLongRunning(item.plan, m_options.long_run_ms)
             ? RequestClass::kBulk
             : item.request_class;
}

void DispatchCore::UpdateSlotCounts(base::MonoTime now) {
  m_idle = 0;
  m_capacity = 0;
  for (size_t i = 0; i < m_targets.size(); ++i) {
    const bool usable =
        m_health.MayUse(i, now) && now >= m_targets[i].leaving_until;
    const int idle = usable ? m_slots.Idle(i, now) : 0;
    m_idle += idle;
    m_capacity += idle + m_slots.InUse(i);
  }
}

// Estimates the wait from the mean interval at which requests of the class have
// left the queue.
double DispatchCore::ExpectedWaitMillis(const WorkItem& item) const {
  const auto ahead = static_cast<double>(
      m_queue.Class(item.request_class).CountAhead(item.plan));
  const DispatchInterval& interval =
      m_dispatch_intervals[static_cast<size_t>(item.request_class)];
  return ahead * (interval.mean_ms > 0 ? interval.mean_ms
                                       : FullCapacityIntervalMillis(item.plan));
}

// Mean time between dispatches if all slots served only `plan`.
double DispatchCore::FullCapacityIntervalMillis(const std::string& plan) const {
  return m_capacity > 0 ? m_run_times.MeanMillis(plan) / m_capacity : 0;
}

// While no request of a class is dispatched, its mean interval doesn't grow; it
// is updated at the next dispatch. Until then the latest start bounds the wait.
void DispatchCore::RecordDispatch(const WorkItem& item, base::MonoTime now) {
  DispatchInterval& interval =
      m_dispatch_intervals[static_cast<size_t>(item.request_class)];
  if (interval.last_dispatch != base::MonoTime{}) {
    const double interval_ms =
        static_cast<double>((now - interval.last_dispatch).count()) *
        kMillisPerMicro;
    if (interval.mean_ms == 0) {
      interval.mean_ms = FullCapacityIntervalMillis(item.plan);
    }
    interval.mean_ms += kIntervalWeight * (interval_ms - interval.mean_ms);
  }
  const bool more = m_queue.Class(item.request_class).size() > 0;
  interval.last_dispatch = more ? now : base::MonoTime{};
}

// Refuses a request that is expected to miss its deadline, so that the caller
// can react at once.
std::optional<Refusal> DispatchCore::CheckWait(const WorkItem& item,
                                               base::MonoTime now) {
  if (now < m_slots.QuietEnd() && item.deadline < m_slots.QuietEnd()) {
    return BusyRefusal("starting",
                       "this VM started lately and holds no slots yet",
                       kNoSlotsRetryAfter);
  }
  const double wait_ms = ExpectedWaitMillis(item);
  const double left_ms =
      static_cast<double>((item.latest_start - now).count()) * kMillisPerMicro;
  if (wait_ms <= left_ms) {
    return std::nullopt;
  }
  return BusyRefusal("overloaded",
                     "expected wait of " +
                         std::to_string(static_cast<int64_t>(wait_ms)) +
                         " ms leaves no time to run before the deadline",
                     base::Millis(static_cast<int64_t>(wait_ms)));
}

std::optional<Refusal> DispatchCore::Admit(WorkItem item,
                                           size_t max_waiting,
                                           base::MonoTime now) {
  item.request_class = EffectiveClass(item);
  if (item.deadline <= now) {
    return DeadlineRefusal(false);
  }
  // With a full queue each request starts just before its latest start.
  // Deriving that from the longest recent run leaves enough time for long runs
  // as well.
  const double left_ms =
      static_cast<double>((item.deadline - now).count()) * kMillisPerMicro;
  const double run_ms =
      std::min(m_run_times.LongestMillis(item.plan), left_ms * kMaxRunShare);
  item.latest_start =
      item.deadline -
      base::Micros(static_cast<int64_t>(run_ms * kMicrosPerMilli));
  size_t& waiting = m_waiting_by_allowance[item.allowance];
  if (waiting >= max_waiting || m_queue.size() >= m_options.max_waiting) {
    return BusyRefusal("queue_full",
                       "allowance \"" + item.allowance + "\" has " +
                           std::to_string(waiting) +
                           " waiting requests on this VM",
                       kNoSlotsRetryAfter);
  }
  if (auto refusal = CheckWait(item, now)) {
    return refusal;
  }
  ++waiting;
  Request& request = m_requests[item.handle];
  request.item = item;
  request.waiting = true;
  m_queue.Push(std::move(item));
  m_slots.SetWaiting(m_queue.size());
  return std::nullopt;
}

bool DispatchCore::MayTakeSlot(RequestClass request_class) const {
  if (request_class == RequestClass::kPreview) {
    return m_idle > 0;
  }
  // The reserve is at most a quarter of the slots, so that a VM with very few
  // slots can use them all.
  const int reserve = std::min(m_options.preview_reserve, m_capacity / 4);
  if (m_idle <= reserve) {
    return false;
  }
  const int bulk_limit =
      std::max(1, static_cast<int>(m_options.bulk_share * m_capacity));
  return request_class != RequestClass::kBulk || m_bulk_in_use < bulk_limit;
}

std::optional<RequestClass> DispatchCore::PickClass() {
  using enum RequestClass;
  static constexpr RequestClass kOrders[][kRequestClasses] = {
      {kPreview, kInteractive, kBulk},
      {kPreview, kBulk, kInteractive},
      {kInteractive, kBulk, kPreview},
      {kBulk, kInteractive, kPreview},
  };
  const size_t order = (m_turn % kLowerClassPeriodTurns == 0 ? 2 : 0) +
                       (m_turn % kBulkPeriodTurns == 0 ? 1 : 0);
  for (const RequestClass candidate : kOrders[order]) {
    if (m_queue.Class(candidate).size() > 0 && MayTakeSlot(candidate)) {
      return candidate;
    }
  }
  return std::nullopt;
}

// Picks the executor with the fewest requests from this VM. Ties are broken
// round-robin.
std::optional<size_t> DispatchCore::PickExecutor(base::MonoTime now,
                                                 const Request& request,
                                                 std::optional<size_t> except) {
  std::optional<size_t> best;
  int best_in_use = 0;
  for (size_t step = 0; step < m_targets.size(); ++step) {
    const size_t i = (m_next_executor + step) % m_targets.size();
    if (i == except || now < m_targets[i].leaving_until ||
        !m_health.MayUse(i, now) || m_slots.Idle(i, now) == 0) {
      continue;
    }
    const bool probe = m_health.executors()[i].state == ExecutorState::kProbing;
    if (probe && !request.item.idempotent) {
      continue;
    }
    const int in_use = m_slots.InUse(i);
    if (!best || in_use < best_in_use) {
      best = i;
      best_in_use = in_use;
    }
  }
  ++m_next_executor;
  return best;
}

Attempt DispatchCore::Begin(Request& request,
                            control::SlotId slot,
                            bool hedge,
                            base::MonoTime now) {
  Attempt attempt;
  attempt.id = m_next_attempt++;
  attempt.handle = request.item.handle;
  attempt.plan = request.item.plan;
  attempt.request_class = request.item.request_class;
  attempt.slot = slot;
  attempt.sent = now;
  attempt.hedge = hedge;
  if (request.attempt_count == 0) {
    m_retry_budget.OnFirstAttempt();
    m_hedge_budget.OnFirstAttempt();
  }
  ++request.attempt_count;
  ++request.active_attempts;
  m_bulk_in_use += request.item.request_class == RequestClass::kBulk ? 1 : 0;
  m_health.OnAttemptStarted(slot.executor);
  m_attempts.emplace(attempt.id, attempt);
  return attempt;
}

std::optional<Attempt> DispatchCore::Next(base::MonoTime now) {
  if (m_queue.size() == 0) {
    return std::nullopt;
  }
  UpdateSlotCounts(now);
  const std::optional<RequestClass> chosen = PickClass();
  if (!chosen) {
    return std::nullopt;
  }
  FairQueue& queue = m_queue.Class(*chosen);
  Request& request = m_requests.at(queue.Peek()->handle);
  std::optional<size_t> executor =
      PickExecutor(now, request, request.last_failed_executor);
  if (!executor && request.last_failed_executor) {
    executor = PickExecutor(now, request, std::nullopt);
  }
  if (!executor) {
    return std::nullopt;
  }
  const std::optional<control::SlotId> slot = m_slots.Acquire(*executor, now);
  if (!slot) {
    return std::nullopt;
  }
  ++m_turn;
  const std::optional<WorkItem> item =
      queue.Pop(m_run_times.MeanMillis(queue.Peek()->plan));
  --m_waiting_by_allowance[item->allowance];
  m_slots.SetWaiting(m_queue.size());
  RecordDispatch(*item, now);
  request.waiting = false;
  m_sent_deadlines.emplace(item->deadline, item->handle);
  return Begin(request, *slot, false, now);
}

// Hedges use only idle slots that no request waits for.
std::optional<Attempt> DispatchCore::NextHedge(base::MonoTime now) {
  UpdateSlotCounts(now);
  if (m_queue.size() > 0 || m_idle <= 2 * m_options.preview_reserve) {
    return std::nullopt;
  }
  for (const auto& [id, attempt] : m_attempts) {
    const auto found = m_requests.find(attempt.handle);
    if (found == m_requests.end()) {
      continue;
    }
    Request& request = found->second;
    const RunTimeEstimate* seen = m_run_times.Find(request.item.plan);
    if (!request.item.idempotent || request.attempt_count > 1 ||
        seen == nullptr || request.item.request_class == RequestClass::kBulk) {
      continue;
    }
    const double run_ms =
        static_cast<double>((now - attempt.sent).count()) * kMillisPerMicro;
    const double limit = std::max(m_options.hedge_factor * seen->p95.value(),
                                  m_options.min_hedge_delay_ms);
    if (run_ms < limit) {
      continue;
    }
    const auto executor = PickExecutor(now, request, attempt.slot.executor);
    if (!executor || !m_hedge_budget.TryTake()) {
      return std::nullopt;
    }
    const auto slot = m_slots.Acquire(*executor, now);
    if (slot) {
      return Begin(request, *slot, true, now);
    }
  }
  return std::nullopt;
}

std::vector<ClosedRequest> DispatchCore::TakeExpired(base::MonoTime now) {
  std::vector<ClosedRequest> closed;
  for (const WorkItem& item : m_queue.RemoveExpired(now)) {
    --m_waiting_by_allowance[item.allowance];
    closed.push_back(
        {item.handle, DeadlineRefusal(m_requests[item.handle].may_have_run)});
    m_requests.erase(item.handle);
  }
  while (!m_sent_deadlines.empty() && m_sent_deadlines.begin()->first <= now) {
    const uint64_t handle = m_sent_deadlines.begin()->second;
    m_sent_deadlines.erase(m_sent_deadlines.begin());
    const auto found = m_requests.find(handle);
    if (found == m_requests.end() || found->second.waiting) {
      continue;
    }
    closed.push_back({handle, DeadlineRefusal(true)});
    m_requests.erase(found);
  }
  m_slots.SetWaiting(m_queue.size());
  return closed;
}

std::vector<ClosedRequest> DispatchCore::TakeWaiting() {
  std::vector<ClosedRequest> closed;
  for (const WorkItem& item : m_queue.RemoveExpired(base::MonoTime::max())) {
    --m_waiting_by_allowance[item.allowance];
    Refusal refusal = DeadlineRefusal(m_requests.at(item.handle).may_have_run);
    refusal.error = "draining";
    refusal.reason = "this VM is shutting down";
    closed.push_back({item.handle, std::move(refusal)});
    m_requests.erase(item.handle);
  }
  m_slots.SetWaiting(0);
  return closed;
}

const std::string& DispatchCore::AddressOf(size_t executor) const {
  return m_targets[executor].address;
}

const std::string& DispatchCore::IdOf(size_t executor) const {
  return m_targets[executor].id;
}

}  // namespace azurespur::filters
