// Limits how many tasks are bound ahead of the starts that the leader can
// send. Reads no clock.
//
// Under overload, bindings without a limit wait so long that their starts are
// answered too late, are repeated and stopped, and cause more work.

#ifndef JOBS_START_PACER_H_
#define JOBS_START_PACER_H_

#include <cstdint>

#include "base/clock.h"

namespace azurespur::jobs {

class StartPacer {
 public:
  // `link_mbps` is the rate of this VM's link in Mbit/s, 0 if unknown.
  explicit StartPacer(double link_mbps = 0);

  // Begins a plan. `outstanding` counts bindings that are being stored and
  // starts that are not answered.
  void BeginPlan(int64_t outstanding);
  // A start that is sent now would wait so long for this VM's link.
  void SetLinkWait(base::Micros wait) { m_link_wait = wait; }
  // Returns true if the plan may bind another step. Urgent steps may use twice
  // the limit.
  bool MayBind(bool urgent);
  void OnBound() {
    ++m_outstanding;
    ++m_bound_since_append;
  }

  // The log answered an append after `took`, whenever this VM handled it.
  void OnAppend(base::Micros took);
  // A start was answered, `took` after its binding was stored.
  void OnAnswer(base::Micros took, base::MonoTime now);

  // Includes the bindings that a slow log holds.
  int64_t limit() const { return static_cast<int64_t>(LimitNow()); }
  // Mean time from the storing of a binding to the answer to its start.
  base::Micros start_time() const { return m_start_time; }

 private:
  void UpdateLimit();
  double LimitNow() const;
  // Most bindings, urgent ones aside, that one append may hold: their starts
  // leave at once when it is answered.
  int64_t MaxBoundInAppend() const;

  const double m_max_limit;
  int64_t m_outstanding = 0;
  base::Micros m_link_wait{0};
  int64_t m_bound_since_append = 0;
  double m_limit;                 // While storing takes no time.
  base::Micros m_append_time{0};  // Of the newest ones.
  bool m_was_limited = false;     // Since the last update of the limit.
  base::Micros m_sum{0};          // Of the answers since the last update.
  int64_t m_answers = 0;
  base::Micros m_start_time{0};
  base::MonoTime m_next_update{};
};

}  // namespace azurespur::jobs

#endif  // JOBS_START_PACER_H_
