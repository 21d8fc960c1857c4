#include "jobs/advice_book.h"

#include <algorithm>
#include <set>
#include <utility>

#include "base/event_log.h"

namespace azurespur::jobs {

namespace {

// A query that is expected to take longer counts as long.
constexpr double kLongQueryMs = 250;
constexpr base::Millis kAnswerSlack{250};
constexpr base::Millis kAvoidSilentVm{1500};
// A ticket is used only while it is surely valid when the start arrives.
constexpr base::Millis kTicketMargin{60};
// Weight of older answers in the share of good workers.
constexpr double kStatsDecay = 0.98;
constexpr double kLeastGoodShare = 0.1;
// So many VMs are left to short queries.
constexpr size_t kShortVms = 2;
// Queries of one VM that together take so long may be sent at a time: the next
// one waits at the service, not for the answer's way to the leader and back.
constexpr double kMostInTurnMs = 40;

}  // namespace

void AdviceBook::SetVms(std::span<const std::string> vms) {
  std::set<std::string> present(vms.begin(), vms.end());
  std::erase_if(m_vms, [&present](const auto& entry) {
    return present.count(entry.first) == 0;
  });
  for (const std::string& vm : present) {
    m_vms[vm];
  }
}

Standing AdviceBook::StandingOf(const StepRef& step,
                                const WorkerBoot& worker,
                                base::MonoTime now) const {
  const auto verdicts = m_verdicts.find(step);
  if (verdicts == m_verdicts.end()) {
    return Standing::kUnknown;
  }
  const auto found = verdicts->second.find(worker.id);
  if (found == verdicts->second.end()) {
    return Standing::kUnknown;
  }
  const Verdict& verdict = found->second;
  if (verdict.boot != worker) {
    // Another life may be of another kind.
    return Standing::kUnknown;
  }
  if (!verdict.good) {
    return Standing::kBad;
  }
  return verdict.expires > now ? Standing::kGood : Standing::kGoodWithoutTicket;
}

const std::string& AdviceBook::TicketOf(const StepRef& step,
                                        std::string_view worker_id) const {
  return m_verdicts.find(step)->second.find(worker_id)->second.ticket;
}

void AdviceBook::DropTicket(const StepRef& step, std::string_view worker_id) {
  const auto verdicts = m_verdicts.find(step);
  if (verdicts == m_verdicts.end()) {
    return;
  }
  const auto found = verdicts->second.find(worker_id);
  if (found != verdicts->second.end()) {
    found->second.expires = {};
  }
}

bool AdviceBook::Asking(const StepRef& step) const {
  return m_asking.count(step) > 0;
}

double AdviceBook::GoodShare(std::string_view queue) const {
  const auto found = m_stats.find(queue);
  const QueueStats stats =
      found == m_stats.end() ? QueueStats{} : found->second;
  return std::clamp(stats.good / stats.asked, kLeastGoodShare, 1.0);
}

std::string AdviceBook::FindFreeVm(double expected_ms,
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
    const bool free =
        state.queries == 0 || state.expected_ms + expected_ms <= kMostInTurnMs;
    if (!free) {
      continue;
    }
    // Long ones from the front of the list, short ones from its end.
    if (best == nullptr ||
        (!is_long && state.expected_ms <= best->second.expected_ms)) {
      best = &entry;
    }
  }
  const size_t most_long = usable > kShortVms ? usable - kShortVms : 1;
  const bool too_many = is_long && with_long >= most_long;
  return best == nullptr || too_many ? std::string() : best->first;
}

std::optional<AdviceQuery> AdviceBook::Ask(const StepRef& step,
                                           std::string_view queue,
                                           const AdvicePolicy& policy,
                                           std::vector<WorkerBoot> workers,
                                           base::MonoTime now) {
  const double expected_ms =
      policy.base_ms +
      policy.per_worker_ms * static_cast<double>(workers.size());
  const std::string vm = FindFreeVm(expected_ms, now);
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
  query.timeout =
      base::Millis{static_cast<int64_t>(vm_state.expected_ms)} + kAnswerSlack;
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
  m_asking[step] = query.id;
  return query;
}

void AdviceBook::OnAnswer(uint64_t query_id,
                          std::span<const AdviceTicket> tickets,
                          base::MonoTime now) {
  const auto found = m_queries.find(query_id);
  if (found == m_queries.end()) {
    return;
  }
  const Query& query = found->second;
  auto& verdicts = m_verdicts[query.step];
  QueueStats& stats = m_stats[query.queue];
  for (const WorkerBoot& worker : query.workers) {
    const auto ticket = std::find_if(
        tickets.begin(), tickets.end(),
        [&worker](const AdviceTicket& t) { return t.worker == worker.id; });
    const bool first = verdicts.count(worker.id) == 0;
    Verdict& verdict = verdicts[worker.id];
    verdict.boot = worker;
    verdict.good = ticket != tickets.end();
    if (verdict.good) {
      verdict.ticket = ticket->ticket;
      verdict.expires = now + query.valid - kTicketMargin;
    }
    if (first) {
      stats.asked = stats.asked * kStatsDecay + 1;
      stats.good = stats.good * kStatsDecay + (verdict.good ? 1 : 0);
    }
  }
  EndQuery(query_id);
}

void AdviceBook::OnFailure(uint64_t query_id, base::MonoTime now) {
  const auto found = m_queries.find(query_id);
  if (found == m_queries.end()) {
    return;
  }
  base::LogEvent(
      base::Severity::kWarning, "AZ9110", "advice query failed",
      {{"step", ToString(found->second.step)}, {"vm", found->second.vm}});
  const auto vm = m_vms.find(found->second.vm);
  if (vm != m_vms.end()) {
    vm->second.avoid_until = now + kAvoidSilentVm;
  }
  EndQuery(query_id);
}

void AdviceBook::Tick(base::MonoTime now) {
  std::vector<uint64_t> late;
  for (const auto& [id, query] : m_queries) {
    if (query.deadline <= now) {
      late.push_back(id);
    }
  }
  for (uint64_t id : late) {
    OnFailure(id, now);
  }
}

void AdviceBook::ForgetGoneJobs(const JobTable& table) {
  std::erase_if(m_verdicts, [&table](const auto& entry) {
    return table.Find(entry.first.job) == nullptr;
  });
}

void AdviceBook::EndQuery(uint64_t query_id) {
  const Query& query = m_queries.at(query_id);
  m_asking.erase(query.step);
  const auto vm = m_vms.find(query.vm);
  if (vm != m_vms.end()) {
    VmState& state = vm->second;
    // A VM that was away meanwhile is here again with nothing to do.
    state.queries = std::max(0, state.queries - 1);
    state.expected_ms = std::max(0.0, state.expected_ms - query.expected_ms);
    state.has_long = state.has_long && query.expected_ms <= kLongQueryMs;
  }
  m_queries.erase(query_id);
}

}  // namespace azurespur::jobs
