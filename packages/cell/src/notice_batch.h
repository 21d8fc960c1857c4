// Records of both streams that were stored and not yet announced to the peers.

#ifndef CELL_SRC_NOTICE_BATCH_H_
#define CELL_SRC_NOTICE_BATCH_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <span>
#include <string>
#include <vector>

#include "cell/messages.h"

namespace azurespur::cell {

class NoticeBatch {
 public:
  void Add(Stream stream, int64_t offset, std::span<const std::string> records);

  bool empty() const { return m_intake.empty() && m_work.empty(); }
  // Of all records.
  size_t Bytes() const;

  // Removes records of up to `max_bytes`, the intake stream first, since work
  // records refer to intake records. A record that is larger is announced
  // without its content.
  std::vector<RecordsSegment> Take(size_t max_bytes);

  // Removes all records. The result has no contents.
  std::vector<RecordsSegment> TakeAnnouncements();

 private:
  std::deque<RecordsSegment>& SegmentsOf(Stream stream) {
    return stream == Stream::kIntake ? m_intake : m_work;
  }

  std::deque<RecordsSegment> m_intake;
  std::deque<RecordsSegment> m_work;
};

}  // namespace azurespur::cell

#endif  // CELL_SRC_NOTICE_BATCH_H_
