// Sticky wake-up signal for one waiting thread.

#ifndef BASE_WAKEUP_H_
#define BASE_WAKEUP_H_

#include <condition_variable>
#include <mutex>

#include "base/clock.h"

namespace azurespur::base {

class Wakeup {
 public:
  void Notify();

  // Returns true if notified since the last Wait(), at once or in time.
  bool Wait(Millis timeout);

 private:
  std::mutex m_mutex;
  std::condition_variable m_condition;
  bool m_notified = false;
};

}  // namespace azurespur::base

#endif  // BASE_WAKEUP_H_
