#include "jobs/advice_tracker.h"

#include <algorithm>
#include <set>
#include <utility>

#include "base/event_log.h"

namespace azurespur::jobs {

namespace {

// Queries with a longer expected duration count as long.
constexpr double kLongQueryMs = 250;
// Added to the expected duration to get the timeout of a query.
constexpr base::Millis kAnswerMargin{250};
constexpr base::Millis kSilentVmBackoff{1500};
// Subtracted from a ticket's validity so that the ticket is still valid when
// the start order arrives.
constexpr base::Millis kTicketMargin{60};
// Decay of older answers in a queue's share of eligible workers.
constexpr double kStatsDecay = 0.98;
constexpr double kMinEligibleShare = 0.1;
// Number of VMs that get no long queries.
constexpr size_t kVmsForShortQueries = 2;
// A VM may have several queries in flight whose expected durations add up to
// this. The next query then waits at the service instead of for a round trip to
// the leader.
constexpr double kMaxQueuedPerVmMs = 40;

}  // namespace

void AdviceTracker::SetVms(std::span<const std::string> vms) {
  std::set<std::string> present(vms.begin(), vms.end());
  std::erase_if(m_vms, [&present](const auto& entry) {
    return present.count(entry.first) == 0;
  });
  for (const std::string& vm : present) {
    m_vms[vm];
  }
}

Eligibility AdviceTracker::EligibilityOf(const StepRef& step,
                                         const WorkerBoot& worker,
                                         base::MonoTime now) const {
  const StepAdvice* answers = AdviceFor(step);
  if (answers == nullptr) {
    return Eligibility::kUnknown;
  }
  const auto found = answers->find(worker.id);
  return EligibilityOf(found == answers->end() ? nullptr : &found->second,
                       worker, now);
}

const AdviceTracker::StepAdvice* AdviceTracker::AdviceFor(
    const StepRef& step) const {
  const auto found = m_advice_by_step.find(step);
  return found == m_advice_by_step.end() ? nullptr : &found->second;
}

Eligibility AdviceTracker::EligibilityOf(const WorkerAdvice* advice,
                                         const WorkerBoot& worker,
                                         base::MonoTime now) {
  // A restarted worker may have other properties.
  if (advice == nullptr || advice->boot != worker) {
    return Eligibility::kUnknown;
  }
  if (!advice->eligible) {
    return Eligibility::kIneligible;
  }
  return advice->expires > now ? Eligibility::kEligible
                               : Eligibility::kEligibleWithoutTicket;
}

const std::string& AdviceTracker::TicketOf(const StepRef& step,
                                           std::string_view worker_id) const {
  return m_advice_by_step.find(step)->second.find(worker_id)->second.ticket;
}

void AdviceTracker::InvalidateTicket(const StepRef& step,
                                     std::string_view worker_id) {
  const auto step_advice = m_advice_by_step.find(step);
  if (step_advice == m_advice_by_step.end()) {
    return;
  }
  const auto found = step_advice->second.find(worker_id);
  if (found != step_advice->second.end()) {
    found->second.expires = {};
  }
}

bool AdviceTracker::HasPendingQuery(const StepRef& step) const {
  return m_query_by_step.count(step) > 0;
}

double AdviceTracker::EligibleShare(std::string_view queue) const {
  const auto found = m_queue_stats.find(queue);
  const QueueStats stats =
      found == m_queue_stats.end() ? QueueStats{} : found->second;
  return std::clamp(stats.eligible / stats.asked, kMinEligibleShare, 1.0);
}

std::string AdviceTracker::FindVmForQuery(double expected_ms,
                                          base::MonoTime now) const {
  const bool is_long = expected_ms > kLongQueryMs;
  size_t usable = 0;
  size_t with_long = 0;
  const std::pair<const std::string, VmState>* best = nullptr;
  for (const auto& entry : m_vms) {
    const VmState& state = entry.second;
    if (state.avoid_until > now) {
      continue;
    }
    ++usable;
    with_long += state.has_long ? 1 : 0;
    const bool free = state.queries == 0 ||
                      state.expected_ms + expected_ms <= kMaxQueuedPerVmMs;
    if (!free) {
      continue;
    }
    // Long queries take the first free VM of the list; short ones take the
    // least loaded, and the last among equals.
    if (best == nullptr ||
        (!is_long && state.expected_ms <= best->second.expected_ms)) {
      best = &entry;
    }
  }
  const size_t max_long =
      usable > kVmsForShortQueries ? usable - kVmsForShortQueries : 1;
  const bool too_many = is_long && with_long >= max_long;
  return best == nullptr || too_many ? std::string() : best->first;
}

std::optional<AdviceQuery> AdviceTracker::StartQuery(
    const StepRef& step,
    std::string_view queue,
    const AdvicePolicy& policy,
    std::vector<WorkerBoot> workers,
    base::MonoTime now) {
  const double expected_ms =
      policy.base_ms +
      policy.per_worker_ms * static_cast<double>(workers.size());
  const std::string vm = FindVmForQuery(expected_ms, now);
  if (vm.empty()) {
    return std::nullopt;
  }
  AdviceQuery query;
  query.id = m_next_id++;
  query.vm = vm;
  query.step = step;
  VmState& vm_state = m_vms[vm];
  ++vm_state.queries;
  vm_state.expected_ms += expected_ms;
  vm_state.has_long = vm_state.has_long || expected_ms > kLongQueryMs;
  query.timeout = base::Millis{static_cast<int64_t>(vm_state.expected_ms)} +
                  kAnswerMargin + std::chrono::ceil<base::Millis>(m_link_wait);
  for (const WorkerBoot& worker : workers) {
    query.workers.push_back(worker.id);
  }
  Query state;
  state.step = step;
  state.queue = std::string(queue);
  state.vm = vm;
  state.workers = std::move(workers);
  state.deadline = now + query.timeout;
  state.valid = base::Millis{policy.valid_ms};
  state.expected_ms = expected_ms;
  m_queries.emplace(query.id, std::move(state));
  m_query_by_step[step] = query.id;
  return query;
}

std::optional<StepRef> AdviceTracker::OnAnswer(
    uint64_t query_id,
    std::span<const AdviceTicket> tickets,
    base::MonoTime now) {
  const auto found = m_queries.find(query_id);
  if (found == m_queries.end()) {
    return std::nullopt;
  }
  const Query& query = found->second;
  auto& step_advice = m_advice_by_step[query.step];
  QueueStats& stats = m_queue_stats[query.queue];
  for (const WorkerBoot& worker : query.workers) {
    const auto ticket = std::find_if(
        tickets.begin(), tickets.end(),
        [&worker](const AdviceTicket& t) { return t.worker == worker.id; });
    const bool first = step_advice.count(worker.id) == 0;
    WorkerAdvice& advice = step_advice[worker.id];
    advice.boot = worker;
    advice.eligible = ticket != tickets.end();
    if (advice.eligible) {
      advice.ticket = ticket->ticket;
      advice.expires = now + query.valid - kTicketMargin;
    }
    if (first) {
      stats.asked = stats.asked * kStatsDecay + 1;
      stats.eligible = stats.eligible * kStatsDecay + (advice.eligible ? 1 : 0);
    }
  }
  const StepRef step = query.step;
  EndQuery(query_id);
  return step;
}

void AdviceTracker::OnQueryFailed(uint64_t query_id, base::MonoTime now) {
  const auto found = m_queries.find(query_id);
  if (found == m_queries.end()) {
    return;
  }
  base::LogEvent(
      base::Severity::kWarning, "AZ9110", "advice query failed",
      {{"step", ToString(found->second.step)}, {"vm", found->second.vm}});
  const auto vm = m_vms.find(found->second.vm);
  if (vm != m_vms.end()) {
    vm->second.avoid_until = now + kSilentVmBackoff;
  }
  EndQuery(query_id);
}

void AdviceTracker::Tick(base::MonoTime now) {
  std::vector<uint64_t> timed_out;
  for (const auto& [id, query] : m_queries) {
    if (query.deadline <= now) {
      timed_out.push_back(id);
    }
  }
  for (uint64_t id : timed_out) {
    OnQueryFailed(id, now);
  }
}

void AdviceTracker::RemoveJobsNotIn(const JobTable& table) {
  std::erase_if(m_advice_by_step, [&table](const auto& entry) {
    return table.Find(entry.first.job) == nullptr;
  });
}

void AdviceTracker::EndQuery(uint64_t query_id) {
  const Query& query = m_queries.at(query_id);
  m_query_by_step.erase(query.step);
  const auto vm = m_vms.find(query.vm);
  if (vm != m_vms.end()) {
    VmState& state = vm->second;
    // If the VM left the list and came back, its counters were reset.
    state.queries = std::max(0, state.queries - 1);
    state.expected_ms = std::max(0.0, state.expected_ms - query.expected_ms);
    state.has_long = state.has_long && query.expected_ms <= kLongQueryMs;
  }
  m_queries.erase(query_id);
}

}  // namespace azurespur::jobs
