#include "standins/journal.h"

#include <utility>

namespace azurespur::standins {

Journal::Journal(const std::string& file, size_t max_lines)
    : m_max_lines(max_lines) {
  if (!file.empty()) {
    m_file.open(file, std::ios::app);
    m_good = m_file.is_open();
  }
}

void Journal::Add(std::string line) {
  std::lock_guard<std::mutex> lock(m_mutex);
  if (m_file.is_open()) {
    m_file << line << '\n' << std::flush;
  }
  if (m_max_lines == 0) {
    return;
  }
  if (m_lines.size() == m_max_lines) {
    m_lines.pop_front();
  }
  m_lines.push_back(std::move(line));
}

std::string Journal::Text() const {
  std::lock_guard<std::mutex> lock(m_mutex);
  std::string text;
  for (const std::string& line : m_lines) {
    text += line;
    text += '\n';
  }
  return text;
}

}  // namespace azurespur::standins
