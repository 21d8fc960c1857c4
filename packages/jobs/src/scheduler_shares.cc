// The order of steps and the limits of starts where the policy names client
// accounts.

#include <algorithm>
#include <span>
#include <utility>
#include <vector>

#include "base/event_log.h"
#include "job_order.h"
#include "jobs/account_cap.h"
#include "jobs/scheduler.h"
#include "ready_step.h"

namespace azurespur::jobs {

namespace {

// Steps past their use go first once in this time, so that none starves.
constexpr base::Millis kFirstInterval{1000};
constexpr base::Millis kCapLogInterval{1000};  // For each account.
// Of waiting work; sums of a few of them fit into an int64_t.
constexpr int64_t kMaxCoreMs = int64_t{1} << 60;

// Returns true if a log line is due, and counts it as written.
bool IsLogDue(std::map<AccountIndex, base::MonoTime>& next_log,
              AccountIndex account,
              base::MonoTime now) {
  base::MonoTime& next = next_log[account];
  if (now < next) {
    return false;
  }
  next = now + kCapLogInterval;
  return true;
}

// Declared sizes and times may be so large that their product overflows.
int64_t CoreMs(const StepSpec& step, int64_t tasks) {
  const double core_ms = static_cast<double>(tasks) *
                         static_cast<double>(step.demand.cpu_millis) *
                         static_cast<double>(step.estimate_ms) / 1000;
  return static_cast<int64_t>(
      std::min(core_ms, static_cast<double>(kMaxCoreMs)));
}

std::pair<int64_t, StepRef> AgeOrder(const ReadyStep& step) {
  return {step.job->spec.submitted_unix_ms, step.ref};
}

}  // namespace

void Scheduler::PlaceByShares(std::vector<ReadyStep>& ready,
                              base::MonoTime now,
                              SchedulerOutput& out) {
  for (ReadyStep& step : ready) {
    SetTurn(step);
  }
  if (m_plan_is_full) {
    ShareOut(ready, now);
    ChooseFirst(ready, now);
  }
  std::stable_sort(ready.begin(), ready.end(), StartsBeforeByTurn);
  for (size_t begin = 0; begin < ready.size();) {
    size_t end = begin;
    while (end < ready.size() && ready[end].turn == ready[begin].turn) {
      ++end;
    }
    PlaceTurn(std::span(ready).subspan(begin, end - begin), now, out);
    begin = end;
  }
  if (m_plan_is_full) {
    UpdateAccountLoads(ready);
  }
}

// A step counts as useful while the job could still end in time by its
// estimates.
void Scheduler::SetTurn(ReadyStep& step) const {
  if (step.slack_ms < 0) {
    const RunTimes* times = m_speeds.Differ() ? &m_run_times : nullptr;
    const int64_t objective =
        ObjectiveMs(LongestChainMs(step.job->spec, times), *step.terms);
    step.useful_until_unix_ms =
        step.job->spec.submitted_unix_ms + kUsefulObjectives * objective;
    if (step.slack_ms + (kUsefulObjectives - 1) * objective < 0) {
      step.turn = Turn::kPastUse;
      return;
    }
  }
  step.turn = step.job->beyond_rate ? Turn::kBeyondRate : Turn::kWithinRate;
}

// Goes through the steps by age rather than trying the oldest again, which may
// be one that no worker can run.
void Scheduler::ChooseFirst(std::vector<ReadyStep>& ready, base::MonoTime now) {
  if (now >= m_next_first) {
    const ReadyStep* oldest = nullptr;
    const ReadyStep* next = nullptr;
    for (const ReadyStep& step : ready) {
      if (step.turn != Turn::kPastUse) {
        continue;
      }
      const auto order = AgeOrder(step);
      if (oldest == nullptr || order < AgeOrder(*oldest)) {
        oldest = &step;
      }
      if (order > m_last_first &&
          (next == nullptr || order < AgeOrder(*next))) {
        next = &step;
      }
    }
    const ReadyStep* chosen = next != nullptr ? next : oldest;
    m_first_step.reset();
    if (chosen != nullptr) {
      m_next_first = now + kFirstInterval;
      m_first_step = chosen->ref;
      m_last_first = AgeOrder(*chosen);
    }
  }
  for (ReadyStep& step : ready) {
    if (m_first_step && step.ref == *m_first_step) {
      step.turn = Turn::kFirst;
    }
  }
}

void Scheduler::ShareOut(std::span<const ReadyStep> ready, base::MonoTime now) {
  std::vector<placement::Resources> waiting(m_fleet.usage().size());
  for (const ReadyStep& step : ready) {
    if (step.turn == Turn::kWithinRate) {
      placement::Resources& sum = waiting[step.account];
      sum = placement::Add(
          sum, placement::Multiply(SpecOf(step).demand,
                                   static_cast<int64_t>(step.waiting.size())));
    }
  }
  m_shares.ShareOut(m_fleet.usage(), waiting, FindUsableCapacity(now));
}

// Workers that take no tasks now still run those that they have.
placement::Resources Scheduler::FindUsableCapacity(base::MonoTime now) const {
  placement::Resources capacity;
  for (const auto& [id, worker] : m_fleet.workers()) {
    capacity = placement::Add(capacity, AcceptsTasks(worker, now)
                                            ? worker.entry.capacity
                                            : worker.used);
  }
  return capacity;
}

// Whole tasks within each share come first, then one task more of accounts that
// are still below their share, so that the rounding of others takes nothing
// from an account. Plans that are not full don't see the less urgent steps of
// accounts within their share, so they place nothing beyond a share.
void Scheduler::PlaceTurn(std::span<ReadyStep> steps,
                          base::MonoTime now,
                          SchedulerOutput& out) {
  const Turn turn = steps.front().turn;
  if (!m_plan_is_full && turn != Turn::kWithinRate) {
    return;
  }
  if (turn == Turn::kFirst) {
    PlaceFirst(steps.front(), now, out);
    return;
  }
  std::vector<ReadyStep*> left;
  for (ReadyStep& step : steps) {
    left.push_back(&step);
  }
  if (turn == Turn::kWithinRate || turn == Turn::kBeyondRate) {
    for (ShareLimit limit : {ShareLimit::kWholeTasks, ShareLimit::kOneMore}) {
      std::erase_if(left, [&](ReadyStep* step) {
        return !PlaceWithinShare(*step, limit, now, out);
      });
    }
    if (!m_plan_is_full) {
      return;
    }
  }
  for (ReadyStep* step : left) {
    if (m_pacer.MayBind(step->terms->priority == 0)) {
      PlaceAndTrim(*step, step->waiting.size(), now, out);
    }
  }
}

// One task, or the whole gang: a wide step would take the cell from work that
// is still useful.
void Scheduler::PlaceFirst(ReadyStep& step,
                           base::MonoTime now,
                           SchedulerOutput& out) {
  const size_t limit = SpecOf(step).gang ? step.waiting.size() : 1;
  if (PlaceAndTrim(step, limit, now, out) > 0) {
    m_first_step.reset();
  }
}

bool Scheduler::PlaceWithinShare(ReadyStep& step,
                                 ShareLimit limit,
                                 base::MonoTime now,
                                 SchedulerOutput& out) {
  if (!m_pacer.MayBind(step.terms->priority == 0)) {
    return false;
  }
  const auto waiting = static_cast<int64_t>(step.waiting.size());
  auto allowed = static_cast<size_t>(m_shares.CountWithinShare(
      m_fleet.usage(), step.account, SpecOf(step).demand, waiting, limit));
  if (SpecOf(step).gang && allowed > 0) {
    allowed = limit == ShareLimit::kOneMore    ? step.waiting.size()
              : allowed == step.waiting.size() ? allowed
                                               : 0;
  }
  if (allowed == 0) {
    return true;
  }
  step.within_share = true;
  const bool partial = allowed < step.waiting.size();
  const size_t bound = PlaceAndTrim(step, allowed, now, out);
  step.within_share = false;
  return partial && bound == allowed;
}

size_t Scheduler::PlaceAndTrim(ReadyStep& step,
                               size_t limit,
                               base::MonoTime now,
                               SchedulerOutput& out) {
  const size_t bound = PlaceStep(step, limit, now, out);
  step.waiting.erase(step.waiting.begin(),
                     step.waiting.begin() + static_cast<ptrdiff_t>(bound));
  return bound;
}

void Scheduler::UpdateAccountLoads(std::span<const ReadyStep> ready) {
  const AccountUsage& usage = m_fleet.usage();
  m_account_loads.clear();
  for (AccountIndex i = 0; i < usage.size(); ++i) {
    m_account_loads.push_back(m_shares.LoadOf(usage, i));
  }
  for (const ReadyStep& step : ready) {
    AccountLoad& load = m_account_loads[step.account];
    const auto waiting = static_cast<int64_t>(step.waiting.size());
    const StepSpec& spec = SpecOf(step);
    load.waiting_tasks += waiting;
    load.waiting_cpu_millis += waiting * spec.demand.cpu_millis;
    const bool useful =
        step.turn == Turn::kWithinRate || step.turn == Turn::kBeyondRate;
    if (useful && waiting > 0) {
      WaitingWork& work = load.waiting[step.terms->priority];
      int64_t& sum = step.turn == Turn::kWithinRate ? work.within_rate_core_ms
                                                    : work.beyond_rate_core_ms;
      sum = std::min(sum + CoreMs(spec, waiting), kMaxCoreMs);
    }
  }
  std::sort(m_account_loads.begin(), m_account_loads.end(),
            [](const AccountLoad& a, const AccountLoad& b) {
              return a.account < b.account;
            });
}

size_t Scheduler::CountUnderCap(const ReadyStep& step, base::MonoTime now) {
  if (!m_shares.IsActive()) {
    return step.waiting.size();
  }
  const placement::Resources& demand = SpecOf(step).demand;
  const auto allowed = static_cast<size_t>(
      m_shares.CountUnderCap(m_fleet.usage(), step.account, demand,
                             static_cast<int64_t>(step.waiting.size())));
  if (allowed < step.waiting.size() &&
      IsLogDue(m_next_cap_log, step.account, now)) {
    const AccountUsage::Entry& usage = m_fleet.usage()[step.account];
    base::LogEvent(
        base::Severity::kInfo, "AZ9131", "account's cap holds back starts",
        {{"account", usage.account},
         {"in_use", ToString(usage.in_use)},
         {"cap", ToString(m_shares.TermsOf(m_fleet.usage(), step.account).cap)},
         {"demand", ToString(demand)},
         {"step", ToString(step.ref)},
         {"waiting_tasks", std::to_string(step.waiting.size())},
         {"allowed_tasks", std::to_string(allowed)},
         {"gang", SpecOf(step).gang ? "true" : "false"}});
  }
  return allowed;
}

bool Scheduler::ExceedsCap(const ReadyStep& step, base::MonoTime now) {
  if (!m_shares.IsActive()) {
    return false;
  }
  const StepSpec& spec = SpecOf(step);
  const placement::Resources& cap =
      m_shares.TermsOf(m_fleet.usage(), step.account).cap;
  if (!NeverFitsCap(spec, cap)) {
    return false;
  }
  if (IsLogDue(m_next_beyond_cap_log, step.account, now)) {
    base::LogEvent(base::Severity::kWarning, "AZ9132",
                   "step can't start as it exceeds its account's cap",
                   {{"account", m_fleet.usage()[step.account].account},
                    {"step", ToString(step.ref)},
                    {"cap", ToString(cap)},
                    {"demand", ToString(spec.demand)},
                    {"members", std::to_string(spec.gang ? spec.count : 1)}});
  }
  return true;
}

}  // namespace azurespur::jobs
