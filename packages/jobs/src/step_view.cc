#include "step_view.h"

#include <algorithm>
#include <limits>

#include "ready_step.h"

namespace azurespur::jobs {

namespace {

int64_t TasksOfStep(const Worker& worker, const StepRef& step) {
  const TaskRef first{step.job, step.step, std::numeric_limits<int32_t>::min()};
  const auto from = worker.runs.lower_bound(first);
  const auto to = std::find_if(
      from, worker.runs.end(),
      [&step](const auto& entry) { return entry.first.StepOf() != step; });
  return std::distance(from, to);
}

}  // namespace

StepView::StepView(const ReadyStep& step,
                   const AdviceTracker::StepAdvice* advice)
    : m_step(step), m_advice(advice) {}

void StepView::AddKept(const IdCursor<placement::Resources>::Map& capacity) {
  m_kept.emplace_back(&capacity);
}

Eligibility StepView::EligibilityOf(const Worker& worker, base::MonoTime now) {
  const WorkerBoot& boot = worker.entry.boot;
  return m_step.terms->advice
             ? AdviceTracker::EligibilityOf(m_advice.Find(boot.id), boot, now)
             : Eligibility::kEligible;
}

placement::Resources StepView::FreeCapacityFor(const Worker& worker) {
  placement::Resources free = FreeCapacity(worker);
  for (auto& kept : m_kept) {
    if (const placement::Resources* capacity =
            kept.Find(worker.entry.boot.id)) {
      free = placement::Subtract(free, *capacity);
    }
  }
  return free;
}

int64_t StepView::TasksLeft(const Worker& worker) const {
  const StepSpec& spec = SpecOf(m_step);
  return spec.max_per_worker > 0
             ? spec.max_per_worker - TasksOfStep(worker, m_step.ref)
             : spec.count;
}

int64_t StepView::SlotsFor(const Worker& worker) {
  const int64_t limit = TasksLeft(worker);
  if (limit <= 0) {
    return 0;
  }
  return placement::CountFitting(SpecOf(m_step).demand, FreeCapacityFor(worker),
                                 limit);
}

}  // namespace azurespur::jobs
