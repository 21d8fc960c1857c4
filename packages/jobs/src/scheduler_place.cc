// Placement of single tasks, and the choice of workers for advice queries.

#include <algorithm>
#include <string_view>
#include <utility>

#include "base/event_log.h"
#include "jobs/scheduler.h"
#include "ready_step.h"
#include "single_task_workers.h"
#include "speed_choice.h"
#include "step_view.h"
#include "worker_fit.h"

namespace azurespur::jobs {

size_t Scheduler::PlaceStep(const ReadyStep& step,
                            size_t limit,
                            base::MonoTime now,
                            SchedulerOutput& out) {
  const size_t allowed = std::min(limit, CountUnderCap(step, now));
  if (SpecOf(step).gang) {
    const bool whole = allowed == step.waiting.size();
    return whole && PlaceGang(step, now, out) ? allowed : 0;
  }
  return allowed == 0 ? 0 : PlaceSingleTasks(step, allowed, now, out);
}

bool Scheduler::IsCompatible(const ReadyStep& step,
                             const Worker& worker) const {
  return IsFit(worker.entry, *step.terms, SpecOf(step));
}

// Reservations that are not firm leave their capacity to urgent tasks.
StepView Scheduler::ViewOf(const ReadyStep& step) const {
  StepView view(step, m_advice.AdviceFor(step.ref));
  const bool urgent = step.terms->priority == 0;
  for (const auto& [ref, reservation] : m_reservations) {
    if (ref != step.ref && (reservation.firm || !urgent)) {
      view.AddKept(reservation.capacity);
    }
  }
  return view;
}

SingleTaskWorkers Scheduler::FindSingleTaskWorkers(const ReadyStep& step,
                                                   base::MonoTime now) const {
  const StepSpec& spec = SpecOf(step);
  StepView view = ViewOf(step);
  SingleTaskWorkers found;
  if (!placement::Fits(spec.demand, m_largest_free)) {
    return found;
  }
  for (const auto& [id, worker] : m_fleet.workers()) {
    ++m_counts.workers_examined;
    // Cheapest check first: in a full cell most workers lack capacity.
    if (!placement::Fits(spec.demand, FreeCapacity(worker)) ||
        !AcceptsTasks(worker, now) || !IsCompatible(step, worker)) {
      continue;
    }
    const Eligibility eligibility = view.EligibilityOf(worker, now);
    const int64_t slots =
        eligibility == Eligibility::kIneligible ? 0 : view.SlotsFor(worker);
    if (slots == 0) {
      continue;
    }
    if (eligibility == Eligibility::kEligible) {
      const bool far = !spec.preferred_rack.empty() &&
                       worker.entry.rack != spec.preferred_rack;
      found.candidates.Add({&worker, view.FreeCapacityFor(worker),
                            view.TasksLeft(worker), far,
                            SpeedPenalty(worker, step.max_slowness)});
    } else {
      auto& list =
          eligibility == Eligibility::kUnknown ? found.unknown : found.expired;
      list.emplace_back(&worker, slots);
    }
  }
  return found;
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
  run.account = step.account;
  run.priority = step.terms->priority;
  run.urgent = run.priority == 0;
  run.gang = SpecOf(step).gang;
  run.preemptible = SpecOf(step).checkpointing && !SpecOf(step).gang;
  run.resumed = run.gang ? !ProgressOf(step).gang_checkpoint.empty()
                         : !ProgressOf(step)
                                .tasks[static_cast<size_t>(index)]
                                .checkpoint.empty();
  base::LogEvent(base::Severity::kInfo, "AZ9102", "task placed",
                 {{"task", ToString(task)},
                  {"run", std::to_string(run_number)},
                  {"worker", worker.entry.boot.id},
                  {"free_cpu", std::to_string(FreeCapacity(worker).cpu_millis)},
                  {"slack_ms", std::to_string(step.slack_ms)}});
  ++m_counts.tasks_placed;
  m_fleet.Bind(task, run, worker.entry.boot.id, now);
  m_pacer.OnBound();
  BindRecord bind{task, run_number, worker.entry.boot};
  if (m_table.AddressOf(bind.worker) != worker.confirmed_address) {
    bind.address = worker.confirmed_address;
  }
  AddRecord(out, std::move(bind));
}

size_t Scheduler::PlaceSingleTasks(const ReadyStep& step,
                                   size_t limit,
                                   base::MonoTime now,
                                   SchedulerOutput& out) {
  const StepProgress& progress = ProgressOf(step);
  SingleTaskWorkers workers = FindSingleTaskWorkers(step, now);
  size_t placed = 0;
  while (placed < limit) {
    const int32_t index = step.waiting[placed];
    if (!m_pacer.MayBind(step.terms->priority == 0)) {
      return placed;
    }
    const auto failed =
        m_last_failed_worker.find({step.ref.job, step.ref.step, index});
    const size_t best = workers.candidates.FindBest(
        failed == m_last_failed_worker.end() ? std::string_view()
                                             : failed->second);
    if (best == StepCandidates::kNone) {
      break;
    }
    const int32_t run = progress.tasks[static_cast<size_t>(index)].run + 1;
    BindTask(step, index, run, workers.candidates.WorkerAt(best), now, out);
    workers.candidates.OnBound(best, SpecOf(step).demand, now);
    ++placed;
  }
  if (placed < limit && MayQueryAdvice(step)) {
    QueryAdviceForSingles(step, limit - placed, workers, now, out);
  }
  return placed;
}

// Queries workers with free capacity: first eligible ones whose tickets have
// expired, then unknown ones, as many as the share of eligible ones suggests.
void Scheduler::QueryAdviceForSingles(const ReadyStep& step,
                                      size_t missing,
                                      SingleTaskWorkers& candidates,
                                      base::MonoTime now,
                                      SchedulerOutput& out) {
  SortBySpeed(candidates.expired, step.max_slowness);
  SortBySpeed(candidates.unknown, step.max_slowness);
  const double share = m_advice.EligibleShare(step.job->spec.queue);
  const double wanted = static_cast<double>(missing) * kQueryMargin + 1;
  double expected = 0;
  std::vector<WorkerBoot> workers;
  const auto add = [&](const auto& list, double weight) {
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
  add(candidates.expired, 1.0);
  add(candidates.unknown, share);
  QueryAdvice(step, std::move(workers), now, out);
}

bool Scheduler::PlansInOrder(const ReadyStep& step) const {
  return m_plan_is_full || step.terms->priority == 0;
}

// The most urgent of the waiting steps gets the next free VM.
bool Scheduler::MayQueryAdvice(const ReadyStep& step) const {
  return step.terms->advice && PlansInOrder(step) &&
         !m_advice.HasPendingQuery(step.ref);
}

bool Scheduler::QueryAdvice(const ReadyStep& step,
                            std::vector<WorkerBoot> workers,
                            base::MonoTime now,
                            SchedulerOutput& out) {
  if (workers.empty()) {
    return false;
  }
  auto query =
      m_advice.StartQuery(step.ref, step.job->spec.queue, *step.terms->advice,
                          std::move(workers), now);
  if (!query) {
    return false;
  }
  out.queries.push_back(std::move(*query));
  return true;
}

}  // namespace azurespur::jobs
