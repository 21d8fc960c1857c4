#include "recent_records.h"

namespace azurespur::cell {

void RecentRecords::Add(int64_t offset, std::string_view record) {
  const auto end = m_first + static_cast<int64_t>(m_records.size());
  if (offset != end) {
    m_records.clear();
    m_bytes = 0;
    m_first = offset;
  }
  m_records.emplace_back(record);
  m_bytes += record.size();
  while (m_bytes > m_max_bytes && m_records.size() > 1) {
    m_bytes -= m_records.front().size();
    m_records.pop_front();
    ++m_first;
  }
}

std::vector<std::string> RecentRecords::From(int64_t offset,
                                             size_t max_bytes) const {
  std::vector<std::string> found;
  const auto end = m_first + static_cast<int64_t>(m_records.size());
  if (offset < m_first) {
    return found;
  }
  size_t bytes = 0;
  for (int64_t at = offset; at < end; ++at) {
    const std::string& record = m_records[static_cast<size_t>(at - m_first)];
    bytes += record.size();
    if (bytes > max_bytes && !found.empty()) {
      break;
    }
    found.push_back(record);
  }
  return found;
}

}  // namespace azurespur::cell
