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
  // Begins a plan. `outstanding` counts bindings that are being stored and
  // starts that are not answered.
  void BeginPlan(int64_t outstanding);
  // Returns true if the plan may bind another step. Urgent steps may use twice
  // the limit.
  bool MayBind(bool urgent);
  void OnBound() { ++m_outstanding; }

  // A start was answered, `took` after its binding was stored.
  void OnAnswer(base::Micros took, base::MonoTime now);

  int64_t limit() const { return static_cast<int64_t>(m_limit); }
  // Mean time from the storing of a binding to the answer to its start.
  base::Micros start_time() const { return m_start_time; }

 private:
  void UpdateLimit();

  int64_t m_outstanding = 0;
  double m_limit = 128;
  bool m_was_limited = false;  // Since the last update of the limit.
  base::Micros m_sum{0};       // Of the answers since the last update.
  int64_t m_answers = 0;
  base::Micros m_start_time{0};
  base::MonoTime m_next_update{};
};

}  // namespace azurespur::jobs

#endif  // JOBS_START_PACER_H_
