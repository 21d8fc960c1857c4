// Process metrics, rendered in the Prometheus text format.

#ifndef BASE_METRICS_H_
#define BASE_METRICS_H_

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>

#include "base/distribution.h"

namespace azurespur::base {

// A value that is added to or set. Thread-safe.
class Counter {
 public:
  void Add(int64_t amount) {
    m_value.fetch_add(amount, std::memory_order_relaxed);
  }
  void Set(int64_t value) { m_value.store(value, std::memory_order_relaxed); }
  int64_t Get() const { return m_value.load(std::memory_order_relaxed); }

 private:
  std::atomic<int64_t> m_value{0};
};

// Registry of named metrics. References stay valid for the registry's life.
// Names are full metric names with optional labels, such as
// `azurespur_requests_total{fate="ran"}`.
class Metrics {
 public:
  Counter& GetCounter(std::string_view name);
  Distribution& GetDistribution(std::string_view name);

  std::string RenderText() const;

 private:
  mutable std::mutex m_mutex;
  std::map<std::string, std::unique_ptr<Counter>, std::less<>> m_counters;
  std::map<std::string, std::unique_ptr<Distribution>, std::less<>>
      m_distributions;
};

}  // namespace azurespur::base

#endif  // BASE_METRICS_H_
