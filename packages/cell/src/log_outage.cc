#include "log_outage.h"

namespace azurespur::cell {

namespace {

// Several heartbeats of a leader whose appends fail.
constexpr base::Millis kMaxLeaderAge{1000};

}  // namespace

void LogOutage::OnLeaderState(bool log_ok, base::MonoTime now) {
  m_leader_heard = now;
  if (log_ok) {
    m_since.reset();
  } else if (!m_since) {
    m_since = now;
  }
}

base::Millis LogOutage::Age(base::MonoTime now) const {
  if (m_own_ok || !m_since || now > m_leader_heard + kMaxLeaderAge) {
    return base::Millis{0};
  }
  return base::Millis{base::MillisBetween(*m_since, now)};
}

}  // namespace azurespur::cell
