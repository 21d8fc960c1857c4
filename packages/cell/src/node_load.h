// Measures what the node's thread spends its time on, and logs when it is
// behind.

#ifndef CELL_SRC_NODE_LOAD_H_
#define CELL_SRC_NODE_LOAD_H_

#include <cstddef>
#include <vector>

#include "account_metrics.h"
#include "base/clock.h"
#include "base/metrics.h"
#include "jobs/scheduler.h"

namespace azurespur::cell {

class NodeLoad {
 public:
  explicit NodeLoad(base::Metrics& metrics);

  void OnMail(size_t handled, base::Micros spent);
  // `began` is when the tick began.
  void OnTick(base::MonoTime began, base::MonoTime ended, bool leading);
  // How long the last tick took.
  base::Micros last_tick() const { return m_last_tick_time; }
  void OnPlan(base::Micros spent) { Observe(m_plan_ms, spent); }
  void OnDispatch(base::Micros spent) { Observe(m_dispatch_ms, spent); }
  // How long a byte that is sent now waits for this VM's link.
  void OnLinkWait(base::Micros wait) { Observe(m_link_wait_ms, wait); }
  // What the scheduler has bound ahead and given up so far in this term.
  void OnScheduler(jobs::Scheduler& scheduler);

 private:
  static void Observe(base::Distribution& distribution, base::Micros spent);
  void LogLag(base::MonoTime now, base::Micros lag, bool leading);

  base::Distribution& m_mail_ms;
  base::Distribution& m_tick_ms;
  base::Distribution& m_plan_ms;
  base::Distribution& m_dispatch_ms;
  base::Distribution& m_tick_gap_ms;
  base::Distribution& m_mail_per_tick;
  base::Distribution& m_link_wait_ms;
  base::Counter& m_bindings_outstanding;
  base::Counter& m_bindings_job_over;
  base::Counter& m_bindings_too_old;
  base::Counter& m_bindings_no_ticket;
  base::Counter& m_bindings_no_worker;
  // In the order of jobs::kStopReasons.
  std::vector<base::Counter*> m_stops;
  // In the order of jobs::kReleasingEvents.
  std::vector<base::Counter*> m_released_runs_running;
  base::Counter& m_open_starts;
  base::Counter& m_replaced_boots;
  base::Counter& m_held_ends;
  base::Distribution& m_time_to_declared;
  base::Distribution& m_time_to_expected;
  base::Counter& m_speed_workers;
  base::Counter& m_speed_spread;
  AccountMetrics m_accounts;
  int64_t m_accounts_shown_at = 0;  // Number of full plans.
  base::MonoTime m_last_tick{};
  base::Micros m_last_tick_time{0};
  base::MonoTime m_next_lag_log{};
  size_t m_mail_since_tick = 0;
};

}  // namespace azurespur::cell

#endif  // CELL_SRC_NODE_LOAD_H_
