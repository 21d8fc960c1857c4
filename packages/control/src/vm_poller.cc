#include "control/vm_poller.h"

#include "base/event_log.h"

namespace azurespur::control {

VmPoller::VmPoller(services::VmList& list,
                   const base::Clock& clock,
                   base::Millis interval)
    : m_list(list),
      m_clock(clock),
      m_interval(interval),
      m_current(std::make_shared<services::VmListPage>()),
      m_last_answer(clock.Now()) {
  m_thread = std::thread([this] { Run(); });
}

VmPoller::~VmPoller() {
  Stop();
}

std::shared_ptr<const services::VmListPage> VmPoller::Current() const {
  std::lock_guard<std::mutex> lock(m_mutex);
  return m_current;
}

int64_t VmPoller::SilentMillis() const {
  std::lock_guard<std::mutex> lock(m_mutex);
  return base::MillisBetween(m_last_answer, m_clock.Now());
}

void VmPoller::Stop() {
  m_stopping.store(true);
  m_wakeup.Notify();
  if (m_thread.joinable()) {
    m_thread.join();
  }
}

void VmPoller::Run() {
  bool reachable = true;
  while (!m_stopping.load()) {
    auto page = m_list.Fetch();
    if (base::Ok(page)) {
      std::lock_guard<std::mutex> lock(m_mutex);
      m_current = base::Value(std::move(page));
      m_last_answer = m_clock.Now();
      reachable = true;
    } else if (reachable) {
      reachable = false;
      base::LogEvent(base::Severity::kWarning, "AZ7004",
                     "VM list not reachable; the last one stays in force",
                     {{"error", base::GetError(page).message}});
    }
    m_wakeup.Wait(m_interval);
  }
}

}  // namespace azurespur::control
