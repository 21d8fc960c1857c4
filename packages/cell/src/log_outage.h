// Tells whether the log is out of reach for the whole cell, and for how long.
// Does no I/O and reads no clock.

#ifndef CELL_SRC_LOG_OUTAGE_H_
#define CELL_SRC_LOG_OUTAGE_H_

#include <optional>

#include "base/clock.h"

namespace azurespur::cell {

// An outage is the cell's if this VM's calls to the log fail and the leader
// says the same of its own. Otherwise another VM may still reach the log.
class LogOutage {
 public:
  // Whether the leader's appends succeed, as it says now.
  void OnLeaderState(bool log_ok, base::MonoTime now);

  // Whether this VM's calls succeed.
  void OnOwnState(bool log_ok) { m_own_ok = log_ok; }

  // Zero if there is no such outage.
  base::Millis Age(base::MonoTime now) const;

 private:
  bool m_own_ok = true;
  std::optional<base::MonoTime> m_since;  // When the leader's appends failed.
  base::MonoTime m_leader_heard{};
};

}  // namespace azurespur::cell

#endif  // CELL_SRC_LOG_OUTAGE_H_
