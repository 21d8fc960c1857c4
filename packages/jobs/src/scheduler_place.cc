// Placement: which worker takes a task, and whom to ask for advice about.

#include <algorithm>
#include <limits>
#include <utility>

#include "base/event_log.h"
#include "jobs/scheduler.h"

namespace azurespur::jobs {

namespace {

// Ask about so many times the slots that are needed, by the share of good ones.
constexpr double kAskMargin = 1.3;
// More gangs than this don't keep room for which they wait.
constexpr int32_t kMaxWaitingGangs = 3;
constexpr base::Millis kWaitLogInterval{1000};  // Of one gang.
constexpr base::Millis kFirmReservation{1600};

const StepSpec& SpecOf(const ReadyStep& step) {
  return step.job->spec.steps[static_cast<size_t>(step.ref.step)];
}

const StepProgress& ProgressOf(const ReadyStep& step) {
  return step.job->steps[static_cast<size_t>(step.ref.step)];
}

int64_t TasksOfStep(const Worker& worker, const StepRef& step) {
  return std::count_if(
      worker.runs.begin(), worker.runs.end(),
      [&step](const auto& entry) { return entry.first.StepOf() == step; });
}

bool HasLabel(const WorkerEntry& entry, const std::string& label) {
  return label.empty() || std::find(entry.labels.begin(), entry.labels.end(),
                                    label) != entry.labels.end();
}

void SortBySlots(std::vector<std::pair<const Worker*, int64_t>>& workers) {
  std::stable_sort(
      workers.begin(), workers.end(),
      [](const auto& a, const auto& b) { return a.second > b.second; });
}

}  // namespace

void Scheduler::PlaceStep(const ReadyStep& step,
                          base::MonoTime now,
                          SchedulerOutput& out) {
  if (SpecOf(step).gang) {
    PlaceGang(step, now, out);
  } else {
    PlaceSingles(step, now, out);
  }
}

bool Scheduler::Suits(const ReadyStep& step, const Worker& worker) const {
  const StepSpec& spec = SpecOf(step);
  return worker.entry.service == step.policy->service &&
         HasLabel(worker.entry, spec.required_label) &&
         placement::Fits(spec.demand, worker.entry.capacity);
}

placement::Resources Scheduler::RoomFor(const ReadyStep& step,
                                        const Worker& worker) const {
  placement::Resources room = FreeRoom(worker);
  const bool urgent = step.policy->priority == 0;
  for (const auto& [ref, reservation] : m_reservations) {
    if (ref == step.ref || (urgent && !reservation.firm)) {
      continue;
    }
    const auto kept = reservation.room.find(worker.entry.boot.id);
    if (kept != reservation.room.end()) {
      room = placement::Subtract(room, kept->second);
    }
  }
  return room;
}

int64_t Scheduler::SlotsFor(const ReadyStep& step, const Worker& worker) const {
  const StepSpec& spec = SpecOf(step);
  int64_t limit = spec.count;
  if (spec.max_per_worker > 0) {
    limit = spec.max_per_worker - TasksOfStep(worker, step.ref);
  }
  if (limit <= 0) {
    return 0;
  }
  return placement::CountFitting(spec.demand, RoomFor(step, worker), limit);
}

Standing Scheduler::StandingOf(const ReadyStep& step,
                               const Worker& worker,
                               base::MonoTime now) const {
  return step.policy->advice
             ? m_advice.StandingOf(step.ref, worker.entry.boot, now)
             : Standing::kGood;
}

// Best fit: the worker that is left with least, near the data if it can be.
const Worker* Scheduler::BestWorker(const ReadyStep& step,
                                    int32_t index,
                                    base::MonoTime now) const {
  const StepSpec& spec = SpecOf(step);
  const auto failed =
      m_last_failed_on.find({step.ref.job, step.ref.step, index});
  const Worker* best = nullptr;
  double best_score = std::numeric_limits<double>::max();
  for (const auto& [id, worker] : m_fleet.workers()) {
    // Cheapest first: in a full cell most workers have no room.
    if (!placement::Fits(spec.demand, FreeRoom(worker)) ||
        !TakesTasks(worker, now) || !Suits(step, worker) ||
        StandingOf(step, worker, now) != Standing::kGood ||
        SlotsFor(step, worker) < 1) {
      continue;
    }
    double score =
        placement::DominantShare(FreeRoom(worker), worker.entry.capacity);
    const bool far = !spec.preferred_rack.empty() &&
                     worker.entry.rack != spec.preferred_rack;
    const bool failed_here =
        failed != m_last_failed_on.end() && failed->second == id;
    score += far ? 2 : 0;
    score += failed_here || worker.failures_in_row > 0 ? 1 : 0;
    if (score < best_score) {
      best = &worker;
      best_score = score;
    }
  }
  return best;
}

void Scheduler::BindTask(const ReadyStep& step,
                         int32_t index,
                         int32_t run_number,
                         const Worker& worker,
                         base::MonoTime now,
                         SchedulerOutput& out) {
  const TaskRef task{step.ref.job, step.ref.step, index};
  Run run;
  run.run = run_number;
  run.demand = SpecOf(step).demand;
  run.urgent = step.policy->priority == 0;
  base::LogEvent(base::Severity::kInfo, "AZ9102", "task is placed",
                 {{"task", ToString(task)},
                  {"run", std::to_string(run_number)},
                  {"worker", worker.entry.boot.id},
                  {"free_cpu", std::to_string(FreeRoom(worker).cpu_millis)},
                  {"slack_ms", std::to_string(step.slack_ms)}});
  m_fleet.Bind(task, run, worker.entry.boot.id, now);
  AddRecord(out, BindRecord{task, run_number, worker.entry.boot});
}

void Scheduler::PlaceSingles(const ReadyStep& step,
                             base::MonoTime now,
                             SchedulerOutput& out) {
  const StepProgress& progress = ProgressOf(step);
  size_t placed = 0;
  for (int32_t index : step.waiting) {
    const Worker* worker = BestWorker(step, index, now);
    if (worker == nullptr) {
      break;
    }
    const int32_t run = progress.tasks[static_cast<size_t>(index)].run + 1;
    BindTask(step, index, run, *worker, now, out);
    ++placed;
  }
  if (placed < step.waiting.size() && step.policy->advice &&
      !m_advice.Asking(step.ref)) {
    AskForSingles(step, step.waiting.size() - placed, now, out);
  }
}

// Asks about workers that have room now: first those known to be good, whose
// tickets are over, then others, as many as the share of good ones suggests.
void Scheduler::AskForSingles(const ReadyStep& step,
                              size_t missing,
                              base::MonoTime now,
                              SchedulerOutput& out) {
  std::vector<std::pair<const Worker*, int64_t>> good;
  std::vector<std::pair<const Worker*, int64_t>> unknown;
  const placement::Resources& demand = SpecOf(step).demand;
  for (const auto& [id, worker] : m_fleet.workers()) {
    if (!placement::Fits(demand, FreeRoom(worker)) ||
        !TakesTasks(worker, now) || !Suits(step, worker)) {
      continue;
    }
    const Standing standing = StandingOf(step, worker, now);
    if (standing == Standing::kBad || standing == Standing::kGood) {
      continue;
    }
    const int64_t slots = SlotsFor(step, worker);
    if (slots > 0) {
      auto& list = standing == Standing::kUnknown ? unknown : good;
      list.emplace_back(&worker, slots);
    }
  }
  SortBySlots(good);
  SortBySlots(unknown);
  const double share = m_advice.GoodShare(step.policy->name);
  const double wanted = static_cast<double>(missing) * kAskMargin + 1;
  double expected = 0;
  std::vector<WorkerBoot> workers;
  const auto take = [&](const auto& list, double weight) {
    for (const auto& [worker, slots] : list) {
      if (expected >= wanted ||
          workers.size() >= m_options.max_advice_workers) {
        return;
      }
      workers.push_back(worker->entry.boot);
      const auto useful =
          std::min<int64_t>(slots, static_cast<int64_t>(missing));
      expected += weight * static_cast<double>(useful);
    }
  };
  take(good, 1.0);
  take(unknown, share);
  Ask(step, std::move(workers), now, out);
}

void Scheduler::Ask(const ReadyStep& step,
                    std::vector<WorkerBoot> workers,
                    base::MonoTime now,
                    SchedulerOutput& out) {
  if (workers.empty()) {
    return;
  }
  auto query = m_advice.Ask(step.ref, step.policy->name, *step.policy->advice,
                            std::move(workers), now);
  if (query) {
    out.queries.push_back(std::move(*query));
  }
}

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
        spec.demand, worker.entry.capacity,
        spec.max_per_worker > 0 ? spec.max_per_worker : spec.count);
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
  if (m_waiting_gangs < kMaxWaitingGangs) {
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

}  // namespace azurespur::jobs
