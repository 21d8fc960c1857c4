#include "scenario/caller_journal.h"

#include "base/clock.h"

namespace azurespur::scenario {

CallerJournal::CallerJournal(const std::string& file)
    : m_name(file), m_file(file) {}

void CallerJournal::Add(nlohmann::json line) {
  line["time_ms"] = base::SystemClock().WallMillis();
  std::lock_guard<std::mutex> lock(m_mutex);
  if (line["event"] == "task-answer" && line["accepted"] == true) {
    m_accepted.insert(line["task"].get<std::string>());
  }
  m_file << line.dump(-1, ' ', true, nlohmann::json::error_handler_t::replace)
         << '\n'
         << std::flush;
}

std::set<std::string> CallerJournal::AcceptedTasks() const {
  std::lock_guard<std::mutex> lock(m_mutex);
  return m_accepted;
}

}  // namespace azurespur::scenario
