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
// Long queries use at most this share of the VMs.
constexpr double kLongShare = 0.7;

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

std::string AdviceBook::FindFreeVm(bool is_long, base::MonoTime now) const {
  size_t usable = 0;
  size_t with_long = 0;
  std::string free;
  for (const auto& [vm, state] : m_vms) {
    if (state.avoid_until > now) {
      continue;
    }
    ++usable;
    if (state.query_id == 0) {
      // Long ones from the front of the list, short ones from its end.
      if (free.empty() || !is_long) {
        free = vm;
      }
    } else if (m_queries.at(state.query_id).is_long) {
      ++with_long;
    }
  }
  const auto most_long = std::max<size_t>(
      1, static_cast<size_t>(static_cast<double>(usable) * kLongShare));
  return is_long && with_long >= most_long ? std::string() : free;
}

std::optional<AdviceQuery> AdviceBook::Ask(const StepRef& step,
                                           std::string_view queue,
                                           const AdvicePolicy& policy,
                                           std::vector<WorkerBoot> workers,
                                           base::MonoTime now) {
  const double expected_ms =
      policy.base_ms +
      policy.per_worker_ms * static_cast<double>(workers.size());
  const bool is_long = expected_ms > kLongQueryMs;
  const std::string vm = FindFreeVm(is_long, now);
  if (vm.empty()) {
    return std::nullopt;
  }
  AdviceQuery query;
  query.id = m_next_id++;
  query.vm = vm;
  query.step = step;
  query.timeout =
      base::Millis{static_cast<int64_t>(expected_ms)} + kAnswerSlack;
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
  state.is_long = is_long;
  m_queries.emplace(query.id, std::move(state));
  m_asking[step] = query.id;
  m_vms[vm].query_id = query.id;
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
  if (vm != m_vms.end() && vm->second.query_id == query_id) {
    vm->second.query_id = 0;
  }
  m_queries.erase(query_id);
}

}  // namespace azurespur::jobs
