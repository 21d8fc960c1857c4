// Placement of gangs: all members start together or none starts.

#include <algorithm>
#include <utility>

#include "base/event_log.h"
#include "gang_preemption.h"
#include "jobs/scheduler.h"
#include "ready_step.h"
#include "speed_choice.h"
#include "step_view.h"

namespace azurespur::jobs {

namespace {

// Number of waiting gangs for which capacity is reserved.
constexpr int32_t kMaxWaitingGangs = 3;
constexpr base::Millis kWaitLogInterval{1000};  // For each gang.
constexpr base::Millis kFirmReservationTime{1600};
// Longer than the stops and the advice query of a preemption take.
constexpr base::Millis kPreemptInterval{2500};

}  // namespace

Scheduler::GangCapacity Scheduler::FindGangCapacity(const ReadyStep& step,
                                                    base::MonoTime now) const {
  const StepSpec& spec = SpecOf(step);
  StepView view = ViewOf(step);
  GangCapacity capacity;
  for (const auto& [id, worker] : m_fleet.workers()) {
    ++m_counts.workers_examined;
    if (!AcceptsTasks(worker, now) || !IsCompatible(step, worker)) {
      continue;
    }
    const Eligibility eligibility = view.EligibilityOf(worker, now);
    if (eligibility == Eligibility::kIneligible) {
      continue;
    }
    capacity.max_slots += placement::CountFitting(
        spec.demand, worker.entry.capacity, MaxPerWorker(spec));
    const int64_t slots = view.SlotsFor(worker);
    if (eligibility == Eligibility::kUnknown) {
      capacity.unknown.emplace_back(&worker, slots);
      continue;
    }
    if (slots == 0) {
      continue;
    }
    capacity.eligible.emplace_back(&worker, slots);
    capacity.eligible_slots += slots;
    if (eligibility == Eligibility::kEligible) {
      capacity.with_ticket.emplace_back(&worker, slots);
      capacity.ticket_slots += slots;
    }
  }
  return capacity;
}

Scheduler::GangCapacity Scheduler::FindTicketCapacity(
    const ReadyStep& step,
    base::MonoTime now) const {
  GangCapacity capacity;
  const AdviceTracker::StepAdvice* answers = m_advice.AdviceFor(step.ref);
  if (answers == nullptr) {
    return capacity;
  }
  StepView view = ViewOf(step);
  for (const auto& [id, advice] : *answers) {
    const auto found = m_fleet.workers().find(id);
    if (!advice.eligible || found == m_fleet.workers().end()) {
      continue;
    }
    ++m_counts.workers_examined;
    const Worker& worker = found->second;
    if (!AcceptsTasks(worker, now) || !IsCompatible(step, worker) ||
        view.EligibilityOf(worker, now) != Eligibility::kEligible) {
      continue;
    }
    const int64_t slots = view.SlotsFor(worker);
    if (slots > 0) {
      capacity.with_ticket.emplace_back(&worker, slots);
      capacity.ticket_slots += slots;
    }
  }
  return capacity;
}

bool Scheduler::NeedsOnlyTickets(const ReadyStep& step,
                                 base::MonoTime now) const {
  const auto next_log = m_next_wait_log.find(step.ref);
  return step.terms->advice && m_advice.HasPendingQuery(step.ref) &&
         next_log != m_next_wait_log.end() && now < next_log->second;
}

bool Scheduler::PlaceGang(const ReadyStep& step,
                          base::MonoTime now,
                          SchedulerOutput& out) {
  const int64_t count = SpecOf(step).count;
  const bool only_tickets = NeedsOnlyTickets(step, now);
  GangCapacity capacity = only_tickets ? FindTicketCapacity(step, now)
                                       : FindGangCapacity(step, now);
  if (capacity.ticket_slots >= count) {
    BindGang(step, capacity, now, out);
    return true;
  }
  if (only_tickets) {
    return false;
  }
  LogWaitingGang(step, capacity, now);
  if (capacity.max_slots < count ||
      (step.terms->advice && m_advice.HasPendingQuery(step.ref))) {
    return false;
  }
  const bool may_query = MayQueryAdvice(step);
  if (capacity.eligible_slots >= count && may_query &&
      ReserveAndQuery(step, capacity, now, out)) {
    return false;
  }
  const bool keeps_room = m_reservations.count(step.ref) > 0;
  if (!keeps_room && PlansInOrder(step) && capacity.eligible_slots < count &&
      Preempt(step, now, out)) {
    return false;
  }
  if (!keeps_room && m_waiting_gangs < kMaxWaitingGangs) {
    ++m_waiting_gangs;
    m_reservations[step.ref] = MakeReservation(step, capacity);
  }
  if (may_query && capacity.eligible_slots < count) {
    QueryAdviceForGang(step, capacity, now, out);
  }
  return false;
}

void Scheduler::LogWaitingGang(const ReadyStep& step,
                               const GangCapacity& capacity,
                               base::MonoTime now) {
  base::MonoTime& next = m_next_wait_log[step.ref];
  if (now < next) {
    return;
  }
  next = now + kWaitLogInterval;
  base::LogEvent(
      base::Severity::kInfo, "AZ9114", "gang is waiting for capacity or advice",
      {{"step", ToString(step.ref)},
       {"members", std::to_string(step.waiting.size())},
       {"slots_with_ticket", std::to_string(capacity.ticket_slots)},
       {"slots_allowed", std::to_string(capacity.eligible_slots)},
       {"slots_if_empty", std::to_string(capacity.max_slots)},
       {"workers_unknown", std::to_string(capacity.unknown.size())},
       {"asking", m_advice.HasPendingQuery(step.ref) ? "true" : "false"},
       {"reservations", std::to_string(m_reservations.size())},
       {"slack_ms", std::to_string(step.slack_ms)}});
}

void Scheduler::BindGang(const ReadyStep& step,
                         GangCapacity& capacity,
                         base::MonoTime now,
                         SchedulerOutput& out) {
  SortForGang(capacity.with_ticket, SpecOf(step).count, step.max_slowness);
  const StepProgress& progress = ProgressOf(step);
  int32_t run = 0;
  for (const TaskProgress& task : progress.tasks) {
    run = std::max(run, task.run);
  }
  ++run;
  size_t next = 0;
  for (const auto& [worker, slots] : capacity.with_ticket) {
    for (int64_t i = 0; i < slots && next < step.waiting.size(); ++i) {
      BindTask(step, step.waiting[next], run, *worker, now, out);
      ++next;
    }
  }
  m_reservations.erase(step.ref);
}

Scheduler::Reservation Scheduler::MakeReservation(const ReadyStep& step,
                                                  GangCapacity& capacity) {
  const StepSpec& spec = SpecOf(step);
  SortForGang(capacity.eligible, spec.count, step.max_slowness);
  Reservation reservation;
  int64_t left = spec.count;
  for (const auto& [worker, slots] : capacity.eligible) {
    const int64_t taken = std::min(slots, left);
    if (taken == 0) {
      break;
    }
    reservation.capacity[worker->entry.boot.id] =
        placement::Multiply(spec.demand, taken);
    left -= taken;
  }
  return reservation;
}

// Capacity that no query is about would stand idle until a VM is free.
bool Scheduler::ReserveAndQuery(const ReadyStep& step,
                                GangCapacity& capacity,
                                base::MonoTime now,
                                SchedulerOutput& out) {
  Reservation reservation = MakeReservation(step, capacity);
  std::vector<WorkerBoot> workers;
  for (const auto& [id, kept] : reservation.capacity) {
    workers.push_back(m_fleet.workers().find(id)->second.entry.boot);
  }
  if (!QueryAdvice(step, std::move(workers), now, out)) {
    return false;
  }
  reservation.firm = true;
  reservation.expires = now + kFirmReservationTime;
  m_reservations[step.ref] = std::move(reservation);
  return true;
}

// If the free capacity is likely to suffice, queries as many workers as the
// share of eligible ones suggests. Otherwise the gang has to wait, and the
// query covers as many unknown workers as one query may, so that the capacity
// on eligible workers can be reserved.
void Scheduler::QueryAdviceForGang(const ReadyStep& step,
                                   GangCapacity& capacity,
                                   base::MonoTime now,
                                   SchedulerOutput& out) {
  const StepSpec& spec = SpecOf(step);
  const double share = m_advice.EligibleShare(step.job->spec.queue);
  const double wanted = static_cast<double>(spec.count) * kQueryMargin;
  const auto slots_to_ask = static_cast<int64_t>(wanted / share);
  SortForGang(capacity.unknown, slots_to_ask, step.max_slowness);
  auto expected = static_cast<double>(capacity.eligible_slots);
  std::vector<WorkerBoot> enough;
  std::vector<WorkerBoot> all;
  for (const auto& [worker, slots] : capacity.unknown) {
    if (all.size() >= m_options.max_advice_workers) {
      break;
    }
    all.push_back(worker->entry.boot);
    if (expected < wanted && slots > 0) {
      enough.push_back(worker->entry.boot);
      expected += share * static_cast<double>(slots);
    }
  }
  const bool fits_now = expected >= wanted;
  QueryAdvice(step, std::move(fits_now ? enough : all), now, out);
}

// Stops preemptible tasks of less urgent queues if that frees capacity for the
// whole gang. A gang that will miss its objective anyway preempts nothing.
bool Scheduler::Preempt(const ReadyStep& step,
                        base::MonoTime now,
                        SchedulerOutput& out) {
  // A gang beyond its account's share would stop tasks that are within theirs.
  if (m_shares.IsActive() && !step.within_share) {
    return false;
  }
  base::MonoTime& next = m_next_preemption[step.ref];
  if (step.slack_ms <= 0 ||
      step.slack_ms >= m_options.max_preempt_slack.count() || now < next) {
    return false;
  }
  const StepSpec& spec = SpecOf(step);
  StepView view = ViewOf(step);
  std::vector<PreemptionCandidate> candidates;
  for (const auto& [id, worker] : m_fleet.workers()) {
    ++m_counts.workers_examined;
    const Eligibility eligibility = view.EligibilityOf(worker, now);
    if (AcceptsTasks(worker, now) && IsCompatible(step, worker) &&
        (eligibility == Eligibility::kEligible ||
         eligibility == Eligibility::kEligibleWithoutTicket)) {
      candidates.push_back(
          {&worker, view.FreeCapacityFor(worker), MaxPerWorker(spec)});
    }
  }
  const std::vector<WorkerPreemption> plans = PlanGangPreemption(
      candidates, {spec.demand, spec.count, step.terms->priority, now});
  if (plans.empty()) {
    return false;
  }
  next = now + kPreemptInterval;
  ExecutePreemption(step, plans, now, out);
  return true;
}

void Scheduler::ExecutePreemption(const ReadyStep& step,
                                  std::span<const WorkerPreemption> plans,
                                  base::MonoTime now,
                                  SchedulerOutput& out) {
  Reservation reservation;
  reservation.firm = true;
  reservation.expires = now + kFirmReservationTime;
  std::vector<WorkerBoot> workers;
  size_t stopped = 0;
  for (const WorkerPreemption& plan : plans) {
    for (const TaskRef& task : plan.victims) {
      m_fleet.RequestStop(task, StopReason::kPreempted);
      ++stopped;
    }
    workers.push_back(plan.worker->entry.boot);
    reservation.capacity[plan.worker->entry.boot.id] =
        placement::Multiply(SpecOf(step).demand, plan.slots);
  }
  base::LogEvent(base::Severity::kInfo, "AZ9115",
                 "preempting tasks to free capacity for a gang",
                 {{"step", ToString(step.ref)},
                  {"members", std::to_string(SpecOf(step).count)},
                  {"stopped", std::to_string(stopped)},
                  {"workers", std::to_string(workers.size())},
                  {"slack_ms", std::to_string(step.slack_ms)}});
  m_reservations[step.ref] = std::move(reservation);
  if (step.terms->advice) {
    QueryAdvice(step, std::move(workers), now, out);
  }
}

}  // namespace azurespur::jobs
