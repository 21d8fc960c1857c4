#include "standins/timer.h"

#include <utility>

namespace azurespur::standins {

Timer::Timer() : m_thread([this] { Run(); }) {}

Timer::~Timer() {
  Stop();
}

void Timer::Stop() {
  {
    std::lock_guard<std::mutex> lock(m_mutex);
    m_stopping = true;
  }
  m_changed.notify_all();
  if (m_thread.joinable()) {
    m_thread.join();
  }
}

void Timer::At(base::MonoTime due, std::function<void()> action) {
  {
    std::lock_guard<std::mutex> lock(m_mutex);
    m_entries.push({due, m_next_number++, std::move(action)});
  }
  m_changed.notify_one();
}

void Timer::After(base::Millis delay, std::function<void()> action) {
  if (delay <= base::Millis(0)) {
    action();
    return;
  }
  At(base::SystemClock().Now() + delay, std::move(action));
}

void Timer::Every(base::Millis period, std::function<void()> action) {
  At(base::SystemClock().Now() + period,
     [this, period, action = std::move(action)] {
       action();
       Every(period, action);
     });
}

void Timer::Run() {
  std::unique_lock<std::mutex> lock(m_mutex);
  while (!m_stopping) {
    if (m_entries.empty()) {
      m_changed.wait(lock);
      continue;
    }
    const base::MonoTime due = m_entries.top().due;
    if (base::SystemClock().Now() < due) {
      m_changed.wait_until(lock, due);
      continue;
    }
    Entry entry = m_entries.top();
    m_entries.pop();
    lock.unlock();
    entry.action();
    lock.lock();
  }
}

}  // namespace azurespur::standins
