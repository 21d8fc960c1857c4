#include "base/wakeup.h"

namespace azurespur::base {

void Wakeup::Notify() {
  {
    std::lock_guard<std::mutex> lock(m_mutex);
    m_notified = true;
  }
  m_condition.notify_one();
}

bool Wakeup::Wait(Millis timeout) {
  std::unique_lock<std::mutex> lock(m_mutex);
  const bool notified =
      m_condition.wait_for(lock, timeout, [this] { return m_notified; });
  m_notified = false;
  return notified;
}

}  // namespace azurespur::base
