#include "scenario/load.h"

#include <algorithm>

namespace azurespur::scenario {

namespace {

constexpr base::Millis kEndLimit{60'000};

int64_t Quantile(const std::vector<int64_t>& sorted, double share) {
  if (sorted.empty()) {
    return 0;
  }
  const auto index =
      static_cast<size_t>(share * static_cast<double>(sorted.size() - 1));
  return sorted[index];
}

}  // namespace

Load::Load(const LoadOptions& options, Callers& callers)
    : m_options(options), m_callers(callers), m_thread([this] { Run(); }) {}

Load::~Load() {
  Wait(kEndLimit);
  m_thread.join();
}

void Load::Run() {
  const base::MonoTime begin = base::SystemClock().Now();
  const auto done = [this](const nlohmann::json& answer) { Take(answer); };
  for (int64_t i = 0; i < m_options.count; ++i) {
    const base::Micros offset(
        static_cast<int64_t>(1e6 * static_cast<double>(i) / m_options.rate));
    std::this_thread::sleep_until(begin + offset);
    const std::string& entry =
        m_options.entries[static_cast<size_t>(i) % m_options.entries.size()];
    {
      std::lock_guard<std::mutex> lock(m_mutex);
      ++m_sent;
    }
    if (m_options.task.is_null()) {
      m_callers.Request(entry, m_options.request, done);
    } else {
      m_callers.Submit(entry, m_options.task, done);
    }
  }
}

void Load::Take(const nlohmann::json& answer) {
  std::lock_guard<std::mutex> lock(m_mutex);
  ++m_answered;
  const std::string fate = answer.value("fate", "");
  ++m_fates[fate.empty() ? "none" : fate];
  ++m_statuses[answer["status"].dump()];
  m_times_ms.push_back(answer["ms"].get<int64_t>());
  m_changed.notify_all();
}

nlohmann::json Load::Wait(base::Millis limit) {
  std::unique_lock<std::mutex> lock(m_mutex);
  m_changed.wait_for(lock, limit,
                     [this] { return m_answered == m_options.count; });
  std::vector<int64_t> times = m_times_ms;
  std::sort(times.begin(), times.end());
  return {{"sent", m_sent},
          {"answered", m_answered},
          {"fates", m_fates},
          {"statuses", m_statuses},
          {"p50_ms", Quantile(times, 0.5)},
          {"p99_ms", Quantile(times, 0.99)},
          {"max_ms", Quantile(times, 1)}};
}

}  // namespace azurespur::scenario
