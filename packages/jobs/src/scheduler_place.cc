// Placement of single tasks, and the choice of workers for advice queries.

#include <algorithm>
#include <limits>
#include <utility>

#include "base/event_log.h"
#include "jobs/scheduler.h"
#include "ready_step.h"

namespace azurespur::jobs {

namespace {

int64_t TasksOfStep(const Worker& worker, const StepRef& step) {
  return std::count_if(
      worker.runs.begin(), worker.runs.end(),
      [&step](const auto& entry) { return entry.first.StepOf() == step; });
}

bool HasLabel(const WorkerEntry& entry, const std::string& label) {
  return label.empty() || std::find(entry.labels.begin(), entry.labels.end(),
                                    label) != entry.labels.end();
}

}  // namespace

void Scheduler::PlaceStep(const ReadyStep& step,
                          base::MonoTime now,
                          SchedulerOutput& out) {
  if (SpecOf(step).gang) {
    PlaceGang(step, now, out);
  } else {
    PlaceSingleTasks(step, now, out);
  }
}

bool Scheduler::IsCompatible(const ReadyStep& step,
                             const Worker& worker) const {
  const StepSpec& spec = SpecOf(step);
  return worker.entry.service == step.policy->service &&
         HasLabel(worker.entry, spec.required_label) &&
         placement::Fits(spec.demand, worker.entry.capacity);
}

placement::Resources Scheduler::FreeCapacityFor(const ReadyStep& step,
                                                const Worker& worker) const {
  placement::Resources free = FreeCapacity(worker);
  const bool urgent = step.policy->priority == 0;
  for (const auto& [ref, reservation] : m_reservations) {
    if (ref == step.ref || (urgent && !reservation.firm)) {
      continue;
    }
    const auto kept = reservation.capacity.find(worker.entry.boot.id);
    if (kept != reservation.capacity.end()) {
      free = placement::Subtract(free, kept->second);
    }
  }
  return free;
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
  return placement::CountFitting(spec.demand, FreeCapacityFor(step, worker),
                                 limit);
}

Eligibility Scheduler::EligibilityOf(const ReadyStep& step,
                                     const Worker& worker,
                                     base::MonoTime now) const {
  return step.policy->advice
             ? m_advice.EligibilityOf(step.ref, worker.entry.boot, now)
             : Eligibility::kEligible;
}

// Best fit: prefers the worker with the least free capacity, in the preferred
// rack if possible, and avoids workers with recent failures.
const Worker* Scheduler::FindBestWorker(const ReadyStep& step,
                                        int32_t index,
                                        base::MonoTime now) const {
  const StepSpec& spec = SpecOf(step);
  const auto failed =
      m_last_failed_worker.find({step.ref.job, step.ref.step, index});
  const Worker* best = nullptr;
  double best_score = std::numeric_limits<double>::max();
  for (const auto& [id, worker] : m_fleet.workers()) {
    ++m_counts.workers_examined;
    // Cheapest check first: in a full cell most workers lack capacity.
    if (!placement::Fits(spec.demand, FreeCapacity(worker)) ||
        !AcceptsTasks(worker, now) || !IsCompatible(step, worker) ||
        EligibilityOf(step, worker, now) != Eligibility::kEligible ||
        SlotsFor(step, worker) < 1) {
      continue;
    }
    double score =
        placement::DominantShare(FreeCapacity(worker), worker.entry.capacity);
    const bool far = !spec.preferred_rack.empty() &&
                     worker.entry.rack != spec.preferred_rack;
    const bool failed_here =
        failed != m_last_failed_worker.end() && failed->second == id;
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
  run.priority = step.policy->priority;
  run.urgent = run.priority == 0;
  run.preemptible = SpecOf(step).checkpointing && !SpecOf(step).gang;
  base::LogEvent(base::Severity::kInfo, "AZ9102", "task placed",
                 {{"task", ToString(task)},
                  {"run", std::to_string(run_number)},
                  {"worker", worker.entry.boot.id},
                  {"free_cpu", std::to_string(FreeCapacity(worker).cpu_millis)},
                  {"slack_ms", std::to_string(step.slack_ms)}});
  ++m_counts.tasks_placed;
  m_fleet.Bind(task, run, worker.entry.boot.id, now);
  m_pacer.OnBound();
  AddRecord(out, BindRecord{task, run_number, worker.entry.boot});
}

void Scheduler::PlaceSingleTasks(const ReadyStep& step,
                                 base::MonoTime now,
                                 SchedulerOutput& out) {
  const StepProgress& progress = ProgressOf(step);
  size_t placed = 0;
  for (int32_t index : step.waiting) {
    if (!m_pacer.MayBind(step.policy->priority == 0)) {
      return;
    }
    const Worker* worker = FindBestWorker(step, index, now);
    if (worker == nullptr) {
      break;
    }
    const int32_t run = progress.tasks[static_cast<size_t>(index)].run + 1;
    BindTask(step, index, run, *worker, now, out);
    ++placed;
  }
  if (placed < step.waiting.size() && step.policy->advice &&
      !m_advice.HasPendingQuery(step.ref)) {
    QueryAdviceForSingles(step, step.waiting.size() - placed, now, out);
  }
}

// Queries workers with free capacity: first eligible ones whose tickets have
// expired, then unknown ones, as many as the share of eligible ones suggests.
void Scheduler::QueryAdviceForSingles(const ReadyStep& step,
                                      size_t missing,
                                      base::MonoTime now,
                                      SchedulerOutput& out) {
  std::vector<std::pair<const Worker*, int64_t>> expired;
  std::vector<std::pair<const Worker*, int64_t>> unknown;
  const placement::Resources& demand = SpecOf(step).demand;
  for (const auto& [id, worker] : m_fleet.workers()) {
    ++m_counts.workers_examined;
    if (!placement::Fits(demand, FreeCapacity(worker)) ||
        !AcceptsTasks(worker, now) || !IsCompatible(step, worker)) {
      continue;
    }
    const Eligibility eligibility = EligibilityOf(step, worker, now);
    if (eligibility == Eligibility::kIneligible ||
        eligibility == Eligibility::kEligible) {
      continue;
    }
    const int64_t slots = SlotsFor(step, worker);
    if (slots > 0) {
      auto& list = eligibility == Eligibility::kUnknown ? unknown : expired;
      list.emplace_back(&worker, slots);
    }
  }
  SortBySlots(expired);
  SortBySlots(unknown);
  const double share = m_advice.EligibleShare(step.policy->name);
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
  add(expired, 1.0);
  add(unknown, share);
  QueryAdvice(step, std::move(workers), now, out);
}

void Scheduler::QueryAdvice(const ReadyStep& step,
                            std::vector<WorkerBoot> workers,
                            base::MonoTime now,
                            SchedulerOutput& out) {
  if (workers.empty()) {
    return;
  }
  auto query =
      m_advice.StartQuery(step.ref, step.policy->name, *step.policy->advice,
                          std::move(workers), now);
  if (query) {
    out.queries.push_back(std::move(*query));
  }
}

}  // namespace azurespur::jobs
