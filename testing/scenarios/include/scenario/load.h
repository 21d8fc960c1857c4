// Requests or submissions sent at a rate while the scenario goes on.

#ifndef SCENARIO_LOAD_H_
#define SCENARIO_LOAD_H_

#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <vector>

#include "scenario/callers.h"

namespace azurespur::scenario {

struct LoadOptions {
  std::vector<std::string> entries;  // Taken in turn.
  int64_t count = 100;
  double rate = 100;  // Sent in a second.
  RequestOptions request;
  nlohmann::json task;  // Null: requests are sent, else this task.
};

class Load {
 public:
  Load(const LoadOptions& options, Callers& callers);
  Load(const Load&) = delete;
  Load& operator=(const Load&) = delete;
  ~Load();

  // Waits until all was answered: {"sent","answered","fates":{FATE:N},
  // "statuses":{STATUS:N},"p50_ms","p99_ms","max_ms"}.
  nlohmann::json Wait(base::Millis limit);

 private:
  void Run();
  void Take(const nlohmann::json& answer);

  const LoadOptions m_options;
  Callers& m_callers;
  std::mutex m_mutex;
  std::condition_variable m_changed;
  int64_t m_sent = 0;
  int64_t m_answered = 0;
  std::map<std::string, int64_t> m_fates;
  std::map<std::string, int64_t> m_statuses;
  std::vector<int64_t> m_times_ms;
  std::thread m_thread;
};

}  // namespace azurespur::scenario

#endif  // SCENARIO_LOAD_H_
