// What the callers and operators of a scenario did and heard, as JSON lines.

#ifndef SCENARIO_CALLER_JOURNAL_H_
#define SCENARIO_CALLER_JOURNAL_H_

#include <fstream>
#include <mutex>
#include <nlohmann/json.hpp>
#include <set>
#include <string>

namespace azurespur::scenario {

// Thread-safe.
class CallerJournal {
 public:
  explicit CallerJournal(const std::string& file);

  // Adds "time_ms" and writes the line.
  void Add(nlohmann::json line);

  // Tasks whose acceptance was written.
  std::set<std::string> AcceptedTasks() const;

  const std::string& file() const { return m_name; }

 private:
  const std::string m_name;
  mutable std::mutex m_mutex;
  std::ofstream m_file;
  std::set<std::string> m_accepted;
};

}  // namespace azurespur::scenario

#endif  // SCENARIO_CALLER_JOURNAL_H_
