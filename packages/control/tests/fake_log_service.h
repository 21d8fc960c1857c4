// In-memory LogService with the faults that the platform allows.

#ifndef CONTROL_TESTS_FAKE_LOG_SERVICE_H_
#define CONTROL_TESTS_FAKE_LOG_SERVICE_H_

#include <chrono>
#include <condition_variable>
#include <mutex>
#include <string>
#include <vector>

#include "services/log_service.h"

namespace azurespur::control {

class FakeLogService : public services::LogService {
 public:
  base::Outcome<uint64_t> Append(std::string_view /*stream*/,
                                 std::string_view body) override {
    std::lock_guard<std::mutex> lock(m_mutex);
    if (m_outage) {
      return base::Error{base::ErrorCode::kUnavailable, "outage"};
    }
    if (m_refusals > 0) {
      --m_refusals;
      return base::Error{base::ErrorCode::kExhausted, "append rate"};
    }
    m_bodies.emplace_back(body);
    m_changed.notify_all();
    if (m_lost_answers > 0) {
      --m_lost_answers;
      return base::Error{base::ErrorCode::kUnknown, "answer lost"};
    }
    return m_bodies.size() - 1;
  }

  base::Outcome<services::LogPage> Read(std::string_view /*stream*/,
                                        uint64_t from,
                                        size_t max,
                                        base::Millis wait) override {
    std::unique_lock<std::mutex> lock(m_mutex);
    if (m_outage) {
      return base::Error{base::ErrorCode::kUnavailable, "outage"};
    }
    m_changed.wait_for(lock, wait, [&] { return m_bodies.size() > from; });
    services::LogPage page;
    page.next = from;
    while (page.next < m_bodies.size() && page.records.size() < max) {
      page.records.push_back({page.next, 1000, m_bodies[page.next]});
      ++page.next;
    }
    page.now_ms = 1000;
    return page;
  }

  void SetOutage(bool outage) {
    std::lock_guard<std::mutex> lock(m_mutex);
    m_outage = outage;
  }
  void LoseAnswers(int count) {
    std::lock_guard<std::mutex> lock(m_mutex);
    m_lost_answers = count;
  }
  void RefuseAppends(int count) {
    std::lock_guard<std::mutex> lock(m_mutex);
    m_refusals = count;
  }
  size_t Size() const {
    std::lock_guard<std::mutex> lock(m_mutex);
    return m_bodies.size();
  }

 private:
  mutable std::mutex m_mutex;
  std::condition_variable m_changed;
  std::vector<std::string> m_bodies;
  bool m_outage = false;
  int m_lost_answers = 0;
  int m_refusals = 0;
};

}  // namespace azurespur::control

#endif  // CONTROL_TESTS_FAKE_LOG_SERVICE_H_
