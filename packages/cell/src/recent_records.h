// The newest records of a stream, kept for VMs that can't read the log.

#ifndef CELL_SRC_RECENT_RECORDS_H_
#define CELL_SRC_RECENT_RECORDS_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <string_view>
#include <vector>

namespace azurespur::cell {

class RecentRecords {
 public:
  explicit RecentRecords(size_t max_bytes) : m_max_bytes(max_bytes) {}

  // `offset` is the next one after the last that was added; a gap drops what
  // was kept.
  void Add(int64_t offset, std::string_view record);

  // Records from `offset` on, at least one and not more than `max_bytes`
  // otherwise. Empty if they are not kept, or not there yet.
  std::vector<std::string> From(int64_t offset, size_t max_bytes) const;

 private:
  const size_t m_max_bytes;
  size_t m_bytes = 0;
  int64_t m_first = 0;
  std::deque<std::string> m_records;
};

}  // namespace azurespur::cell

#endif  // CELL_SRC_RECENT_RECORDS_H_
