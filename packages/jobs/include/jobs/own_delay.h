// How far this VM is behind with its own work, as seen from timers that it
// handled late. Reads no clock.

#ifndef JOBS_OWN_DELAY_H_
#define JOBS_OWN_DELAY_H_

#include "base/clock.h"

namespace azurespur::jobs {

class OwnDelay {
 public:
  // Something due at `due` is handled now.
  void Observe(base::MonoTime due, base::MonoTime now);

  // The longest delay observed of late; 0 if it is not worth notice.
  base::Millis Recent(base::MonoTime now) const;

 private:
  base::Micros m_longest{0};
  base::MonoTime m_expires{};
};

}  // namespace azurespur::jobs

#endif  // JOBS_OWN_DELAY_H_
