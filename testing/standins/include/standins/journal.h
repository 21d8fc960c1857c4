// What a stand-in did, as JSON lines in memory and optionally in a file.

#ifndef STANDINS_JOURNAL_H_
#define STANDINS_JOURNAL_H_

#include <cstddef>
#include <deque>
#include <fstream>
#include <mutex>
#include <string>

namespace azurespur::standins {

class Journal {
 public:
  // Keeps the newest `max_lines` in memory. `file` may be empty.
  Journal(const std::string& file, size_t max_lines);

  // False if the file can't be written.
  bool Good() const { return m_good; }

  // Appends one JSON object, given without a line end.
  void Add(std::string line);

  // All kept lines, each ended by a line end.
  std::string Text() const;

 private:
  const size_t m_max_lines;
  mutable std::mutex m_mutex;
  std::deque<std::string> m_lines;
  std::ofstream m_file;
  bool m_good = true;
};

}  // namespace azurespur::standins

#endif  // STANDINS_JOURNAL_H_
