// Holds the newest records of a stream, for VMs that can't read the log.

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

  // `offset` should follow the last record added. Otherwise all older records
  // are dropped.
  void Add(int64_t offset, std::string_view record);

  // Returns records from `offset` on, up to `max_bytes` in total but at least
  // one. Empty if they were dropped or have not been added yet.
  std::vector<std::string> From(int64_t offset, size_t max_bytes) const;

 private:
  const size_t m_max_bytes;
  size_t m_bytes = 0;
  int64_t m_first = 0;
  std::deque<std::string> m_records;
};

}  // namespace azurespur::cell

#endif  // CELL_SRC_RECENT_RECORDS_H_
