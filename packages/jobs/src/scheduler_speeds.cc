// Feeds finished runs to the estimates of run times and worker speeds, and
// derives from them what the placement uses.

#include <cmath>
#include <string>

#include "base/event_log.h"
#include "job_order.h"
#include "jobs/scheduler.h"
#include "speed_choice.h"

namespace azurespur::jobs {

namespace {

constexpr base::Millis kSpeedUpdateInterval{500};
// Taken by the owner once in each tick; ends of one tick are fewer.
constexpr size_t kMaxRunOutcomes = 4096;

}  // namespace

void Scheduler::ObserveFinishedRuns(base::MonoTime now) {
  for (const TimedRun& timed : m_fleet.TakeTimedRuns()) {
    const Job* job = m_table.Find(timed.task.job);
    if (job == nullptr) {
      continue;
    }
    const StepSpec& spec =
        job->spec.steps[static_cast<size_t>(timed.task.step)];
    if (m_run_outcomes.size() < kMaxRunOutcomes) {
      m_run_outcomes.push_back(OutcomeOf(timed, *job, now));
    }
    m_run_times.Observe({timed.task.StepOf(), job->spec.queue, timed.worker,
                         timed.run_ms, spec.estimate_ms, spec.count, spec.gang},
                        now);
  }
}

RunOutcome Scheduler::OutcomeOf(const TimedRun& timed,
                                const Job& job,
                                base::MonoTime now) const {
  const auto ratio_to = [&timed](double ms) {
    return ms > 0 ? static_cast<double>(timed.run_ms) / ms : 0;
  };
  const StepRef step = timed.task.StepOf();
  const int64_t declared_ms =
      job.spec.steps[static_cast<size_t>(step.step)].estimate_ms;
  const double slowness =
      std::exp(m_speeds.Find(timed.worker, now).log_slowness);
  const auto expected_ms = static_cast<double>(
      m_run_times.ExpectedMs(step, job.spec.queue, declared_ms));
  return {ratio_to(static_cast<double>(declared_ms)),
          ratio_to(expected_ms * slowness)};
}

void Scheduler::UpdateSpeeds(base::MonoTime now) {
  if (now < m_next_speed_update) {
    return;
  }
  m_next_speed_update = now + kSpeedUpdateInterval;
  const bool differed = m_speeds.Differ();
  m_run_times.Compare(m_speeds, now);
  m_speeds.Refresh(now);
  const bool differ = m_speeds.Differ();
  m_fleet.SetSpeeds(m_speeds, now);
  if (differ != differed) {
    const SpeedSpread& spread = m_speeds.spread();
    base::LogEvent(base::Severity::kInfo, "AZ9151",
                   differ ? "worker speeds differ; placement uses them"
                          : "worker speeds no longer differ",
                   {{"workers", std::to_string(spread.workers)},
                    {"ratio", std::to_string(spread.ratio)},
                    {"noise", std::to_string(m_speeds.noise())}});
  }
}

void Scheduler::SetSlack(ReadyStep& step, int64_t unix_ms) const {
  const auto index = static_cast<size_t>(step.ref.step);
  if (!m_speeds.Differ()) {
    step.slack_ms = SlackMs(*step.job, *step.terms, index, unix_ms);
    return;
  }
  step.slack_ms = SlackMs(*step.job, *step.terms, index, unix_ms, &m_run_times);
  const JobSpec& spec = step.job->spec;
  step.max_slowness = MaxSlowness(
      step.slack_ms, m_run_times.ExpectedMs(step.ref, spec.queue,
                                            spec.steps[index].estimate_ms));
}

}  // namespace azurespur::jobs
