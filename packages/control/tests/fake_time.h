// Virtual time for tests: a clock and the events due on it.

#ifndef CONTROL_TESTS_FAKE_TIME_H_
#define CONTROL_TESTS_FAKE_TIME_H_

#include <functional>
#include <map>
#include <utility>

#include "base/clock.h"

namespace azurespur::control {

class FakeTime : public base::Clock {
 public:
  base::MonoTime Now() const override {
    return base::MonoTime(base::Millis(m_now_ms));
  }
  int64_t WallMillis() const override { return m_now_ms; }

  int64_t NowMillis() const { return m_now_ms; }

  void After(int64_t delay_ms, std::function<void()> event) {
    m_events.emplace(m_now_ms + delay_ms, std::move(event));
  }

  // Runs everything due up to and including the new time.
  void Advance(int64_t step_ms) {
    const int64_t end_ms = m_now_ms + step_ms;
    while (!m_events.empty() && m_events.begin()->first <= end_ms) {
      m_now_ms = std::max(m_now_ms, m_events.begin()->first);
      const auto event = std::move(m_events.begin()->second);
      m_events.erase(m_events.begin());
      event();
    }
    m_now_ms = end_ms;
  }

 private:
  int64_t m_now_ms = 1000;
  std::multimap<int64_t, std::function<void()>> m_events;
};

}  // namespace azurespur::control

#endif  // CONTROL_TESTS_FAKE_TIME_H_
