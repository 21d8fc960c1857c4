#include "node_load.h"

#include <cmath>
#include <string>

#include "base/event_log.h"

namespace azurespur::cell {

namespace {

// A longer time between two ticks counts as lag.
constexpr base::Millis kMinLag{250};
constexpr base::Millis kLagLogInterval{1000};
// Figures of 300 accounts in each full plan would cost more than they tell.
constexpr int64_t kPlansPerAccountFigures = 16;
constexpr double kPermille = 1000;

}  // namespace

NodeLoad::NodeLoad(base::Metrics& metrics)
    : m_mail_ms(metrics.GetDistribution("azurespur_node_ms{duty=\"mail\"}")),
      m_tick_ms(metrics.GetDistribution("azurespur_node_ms{duty=\"tick\"}")),
      m_plan_ms(metrics.GetDistribution("azurespur_node_ms{duty=\"plan\"}")),
      m_dispatch_ms(
          metrics.GetDistribution("azurespur_node_ms{duty=\"dispatch\"}")),
      m_tick_gap_ms(metrics.GetDistribution("azurespur_node_tick_gap_ms")),
      m_mail_per_tick(metrics.GetDistribution("azurespur_node_mail_per_tick")),
      m_link_wait_ms(metrics.GetDistribution("azurespur_link_wait_ms")),
      m_bindings_outstanding(
          metrics.GetCounter("azurespur_bindings_outstanding")),
      m_bindings_job_over(metrics.GetCounter(
          "azurespur_bindings_unsent_total{reason=\"job over\"}")),
      m_bindings_too_old(metrics.GetCounter(
          "azurespur_bindings_unsent_total{reason=\"too old\"}")),
      m_bindings_no_ticket(metrics.GetCounter(
          "azurespur_bindings_unsent_total{reason=\"no ticket\"}")),
      m_bindings_no_worker(metrics.GetCounter(
          "azurespur_bindings_unsent_total{reason=\"no worker\"}")),
      m_open_starts(metrics.GetCounter("azurespur_open_starts")),
      m_replaced_boots(metrics.GetCounter("azurespur_replaced_boots_total")),
      m_held_ends(metrics.GetCounter("azurespur_workers_with_held_ends")),
      m_time_to_declared(metrics.GetDistribution(
          "azurespur_run_time_ratio{estimate=\"declared\"}")),
      m_time_to_expected(metrics.GetDistribution(
          "azurespur_run_time_ratio{estimate=\"expected\"}")),
      m_speed_workers(metrics.GetCounter("azurespur_speed_workers")),
      m_speed_spread(metrics.GetCounter("azurespur_speed_spread_permille")),
      m_accounts(metrics) {
  for (const jobs::StopReason reason : jobs::kStopReasons) {
    m_stops.push_back(
        &metrics.GetCounter("azurespur_stops_total{reason=\"" +
                            std::string(jobs::StopReasonName(reason)) + "\"}"));
  }
  for (const jobs::RunEvent event : jobs::kReleasingEvents) {
    m_released_runs_running.push_back(
        &metrics.GetCounter("azurespur_released_runs_running_total{cause=\"" +
                            std::string(jobs::RunEventName(event)) + "\"}"));
  }
}

void NodeLoad::OnMail(size_t handled, base::Micros spent) {
  m_mail_since_tick += handled;
  Observe(m_mail_ms, spent);
}

void NodeLoad::OnTick(base::MonoTime began,
                      base::MonoTime ended,
                      bool leading) {
  if (m_last_tick != base::MonoTime{}) {
    const base::Micros gap = began - m_last_tick;
    Observe(m_tick_gap_ms, gap);
    LogLag(began, gap, leading);
  }
  if (!leading && m_accounts_shown_at > 0) {
    m_accounts_shown_at = 0;
    m_accounts.Show({});
  }
  m_last_tick = began;
  m_mail_per_tick.Observe(static_cast<double>(m_mail_since_tick));
  m_mail_since_tick = 0;
  m_last_tick_time = ended - began;
  Observe(m_tick_ms, m_last_tick_time);
}

void NodeLoad::OnScheduler(jobs::Scheduler& scheduler) {
  const jobs::UnsentBindings& unsent = scheduler.unsent();
  m_bindings_outstanding.Set(scheduler.fleet().CountOutstanding());
  m_bindings_job_over.Set(unsent.job_over);
  m_bindings_too_old.Set(unsent.too_old);
  m_bindings_no_ticket.Set(unsent.no_ticket);
  m_bindings_no_worker.Set(unsent.no_worker);
  for (const jobs::RunOutcome& outcome : scheduler.TakeRunOutcomes()) {
    if (outcome.to_declared > 0) {
      m_time_to_declared.Observe(outcome.to_declared);
    }
    if (outcome.to_expected > 0) {
      m_time_to_expected.Observe(outcome.to_expected);
    }
  }
  const jobs::SpeedSpread& spread = scheduler.speeds().spread();
  m_speed_workers.Set(static_cast<int64_t>(spread.workers));
  m_speed_spread.Set(std::llround(spread.ratio * kPermille));
  const jobs::StopCounts& stops = scheduler.fleet().stop_counts();
  for (size_t i = 0; i < m_stops.size(); ++i) {
    m_stops[i]->Set(stops.Get(jobs::kStopReasons.at(i)));
  }
  const jobs::ReleasedRuns& released = scheduler.fleet().released_runs();
  for (size_t i = 0; i < m_released_runs_running.size(); ++i) {
    m_released_runs_running[i]->Set(
        released.CountRunning(jobs::kReleasingEvents.at(i)));
  }
  m_open_starts.Set(scheduler.fleet().CountOpenStarts());
  m_replaced_boots.Set(scheduler.fleet().replaced_boots());
  m_held_ends.Set(scheduler.fleet().CountWorkersWithHeldEnds());
  const int64_t plans = scheduler.plan_counts().full_plans;
  if (plans >= m_accounts_shown_at + kPlansPerAccountFigures) {
    m_accounts_shown_at = plans;
    m_accounts.Show(scheduler.account_loads());
  }
}

void NodeLoad::Observe(base::Distribution& distribution, base::Micros spent) {
  distribution.Observe(static_cast<double>(spent.count()) / 1000);
}

void NodeLoad::LogLag(base::MonoTime now, base::Micros lag, bool leading) {
  if (lag < kMinLag || now < m_next_lag_log) {
    return;
  }
  m_next_lag_log = now + kLagLogInterval;
  base::LogEvent(base::Severity::kWarning, "AZ9306", "node is behind",
                 {{"ms_since_tick", std::to_string(lag.count() / 1000)},
                  {"mail", std::to_string(m_mail_since_tick)},
                  {"leading", leading ? "true" : "false"}});
}

}  // namespace azurespur::cell
