// Placement of gangs: all members start together, or none.

#include <algorithm>
#include <utility>

#include "base/event_log.h"
#include "gang_preemption.h"
#include "jobs/scheduler.h"
#include "ready_step.h"

namespace azurespur::jobs {

namespace {

// More gangs than this don't keep room for which they wait.
constexpr int32_t kMaxWaitingGangs = 3;
constexpr base::Millis kWaitLogInterval{1000};  // Of one gang.
constexpr base::Millis kFirmReservation{1600};
// A gang that has more time to spare may still get room without it.
constexpr int64_t kPreemptBelowSlackMs = 4000;
// Longer than the stops and the advice that follow take.
constexpr base::Millis kPreemptInterval{2500};

}  // namespace

Scheduler::GangRoom Scheduler::FindGangRoom(const ReadyStep& step,
                                            base::MonoTime now) const {
  const StepSpec& spec = SpecOf(step);
  GangRoom room;
  for (const auto& [id, worker] : m_fleet.workers()) {
    if (!TakesTasks(worker, now) || !Suits(step, worker)) {
      continue;
    }
    const Standing standing = StandingOf(step, worker, now);
    if (standing == Standing::kBad) {
      continue;
    }
    room.possible_slots += placement::CountFitting(
        spec.demand, worker.entry.capacity, MostPerWorker(spec));
    const int64_t slots = SlotsFor(step, worker);
    if (standing == Standing::kUnknown) {
      room.unknown.emplace_back(&worker, slots);
      continue;
    }
    if (slots == 0) {
      continue;
    }
    room.allowed.emplace_back(&worker, slots);
    room.allowed_slots += slots;
    if (standing == Standing::kGood) {
      room.good.emplace_back(&worker, slots);
      room.good_slots += slots;
    }
  }
  SortBySlots(room.good);
  SortBySlots(room.allowed);
  SortBySlots(room.unknown);
  return room;
}

void Scheduler::PlaceGang(const ReadyStep& step,
                          base::MonoTime now,
                          SchedulerOutput& out) {
  const int64_t count = SpecOf(step).count;
  const GangRoom room = FindGangRoom(step, now);
  if (room.good_slots >= count) {
    BindGang(step, room, now, out);
    return;
  }
  LogWaitingGang(step, room, now);
  if (room.possible_slots < count ||
      (step.policy->advice && m_advice.Asking(step.ref))) {
    return;
  }
  if (room.allowed_slots >= count) {
    Reserve(step, room, /*firm=*/true, now + kFirmReservation);
    std::vector<WorkerBoot> workers;
    for (const auto& [id, kept] : m_reservations[step.ref].room) {
      workers.push_back(m_fleet.workers().find(id)->second.entry.boot);
    }
    Ask(step, std::move(workers), now, out);
    return;
  }
  const bool keeps_room = m_reservations.count(step.ref) > 0;
  if (!keeps_room && Preempt(step, now, out)) {
    return;
  }
  if (!keeps_room && m_waiting_gangs < kMaxWaitingGangs) {
    ++m_waiting_gangs;
    Reserve(step, room, /*firm=*/false, now);
  }
  if (step.policy->advice) {
    AskForGang(step, room, now, out);
  }
}

void Scheduler::LogWaitingGang(const ReadyStep& step,
                               const GangRoom& room,
                               base::MonoTime now) {
  base::MonoTime& next = m_next_wait_log[step.ref];
  if (now < next) {
    return;
  }
  next = now + kWaitLogInterval;
  base::LogEvent(base::Severity::kInfo, "AZ9114", "gang waits",
                 {{"step", ToString(step.ref)},
                  {"members", std::to_string(step.waiting.size())},
                  {"slots_with_ticket", std::to_string(room.good_slots)},
                  {"slots_allowed", std::to_string(room.allowed_slots)},
                  {"slots_if_empty", std::to_string(room.possible_slots)},
                  {"workers_unknown", std::to_string(room.unknown.size())},
                  {"asking", m_advice.Asking(step.ref) ? "true" : "false"},
                  {"reservations", std::to_string(m_reservations.size())},
                  {"slack_ms", std::to_string(step.slack_ms)}});
}

void Scheduler::BindGang(const ReadyStep& step,
                         const GangRoom& room,
                         base::MonoTime now,
                         SchedulerOutput& out) {
  const StepProgress& progress = ProgressOf(step);
  int32_t run = 0;
  for (const TaskProgress& task : progress.tasks) {
    run = std::max(run, task.run);
  }
  ++run;
  size_t next = 0;
  for (const auto& [worker, slots] : room.good) {
    for (int64_t i = 0; i < slots && next < step.waiting.size(); ++i) {
      BindTask(step, step.waiting[next], run, *worker, now, out);
      ++next;
    }
  }
  m_reservations.erase(step.ref);
}

// Keeps the room of as many members as there is room for.
void Scheduler::Reserve(const ReadyStep& step,
                        const GangRoom& room,
                        bool firm,
                        base::MonoTime expires) {
  const StepSpec& spec = SpecOf(step);
  Reservation reservation;
  reservation.firm = firm;
  reservation.expires = expires;
  int64_t left = spec.count;
  for (const auto& [worker, slots] : room.allowed) {
    const int64_t taken = std::min(slots, left);
    if (taken == 0) {
      break;
    }
    reservation.room[worker->entry.boot.id] =
        placement::Multiply(spec.demand, taken);
    left -= taken;
  }
  m_reservations[step.ref] = std::move(reservation);
}

// Where the room that is free now should do, asks about as many workers as the
// share of good ones suggests. Otherwise the gang has to wait for room, and
// asks once about all, so that it knows which room to wait for.
void Scheduler::AskForGang(const ReadyStep& step,
                           const GangRoom& room,
                           base::MonoTime now,
                           SchedulerOutput& out) {
  const StepSpec& spec = SpecOf(step);
  const double share = m_advice.GoodShare(step.policy->name);
  const double wanted = static_cast<double>(spec.count) * kAskMargin;
  auto expected = static_cast<double>(room.allowed_slots);
  std::vector<WorkerBoot> enough;
  std::vector<WorkerBoot> all;
  for (const auto& [worker, slots] : room.unknown) {
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
  Ask(step, std::move(fits_now ? enough : all), now, out);
}

// Stops batch tasks that have saved their work where this makes room for the
// whole gang. A gang that is late anyway is not worth it.
bool Scheduler::Preempt(const ReadyStep& step,
                        base::MonoTime now,
                        SchedulerOutput& out) {
  base::MonoTime& next = m_next_preemption[step.ref];
  if (step.slack_ms <= 0 || step.slack_ms >= kPreemptBelowSlackMs ||
      now < next) {
    return false;
  }
  const StepSpec& spec = SpecOf(step);
  std::vector<GangSite> sites;
  for (const auto& [id, worker] : m_fleet.workers()) {
    const Standing standing = StandingOf(step, worker, now);
    if (TakesTasks(worker, now) && Suits(step, worker) &&
        (standing == Standing::kGood ||
         standing == Standing::kGoodWithoutTicket)) {
      sites.push_back({&worker, RoomFor(step, worker), MostPerWorker(spec)});
    }
  }
  const std::vector<SitePlan> plans = PlanGangPreemption(
      sites, {spec.demand, spec.count, step.policy->priority});
  if (plans.empty()) {
    return false;
  }
  next = now + kPreemptInterval;
  CarryOutPreemption(step, plans, now, out);
  return true;
}

void Scheduler::CarryOutPreemption(const ReadyStep& step,
                                   std::span<const SitePlan> plans,
                                   base::MonoTime now,
                                   SchedulerOutput& out) {
  Reservation reservation;
  reservation.firm = true;
  reservation.expires = now + kFirmReservation;
  std::vector<WorkerBoot> workers;
  size_t stopped = 0;
  for (const SitePlan& plan : plans) {
    for (const TaskRef& task : plan.victims) {
      m_fleet.WantStop(task);
      ++stopped;
    }
    workers.push_back(plan.worker->entry.boot);
    reservation.room[plan.worker->entry.boot.id] =
        placement::Multiply(SpecOf(step).demand, plan.slots);
  }
  base::LogEvent(base::Severity::kInfo, "AZ9115",
                 "tasks are stopped so that a gang can start",
                 {{"step", ToString(step.ref)},
                  {"members", std::to_string(SpecOf(step).count)},
                  {"stopped", std::to_string(stopped)},
                  {"workers", std::to_string(workers.size())},
                  {"slack_ms", std::to_string(step.slack_ms)}});
  m_reservations[step.ref] = std::move(reservation);
  if (step.policy->advice) {
    Ask(step, std::move(workers), now, out);
  }
}

}  // namespace azurespur::jobs
