// How current the applied part of a log stream is. Does no I/O and reads no
// clock.

#ifndef CELL_SRC_STREAM_FRESHNESS_H_
#define CELL_SRC_STREAM_FRESHNESS_H_

#include <cstdint>
#include <deque>
#include <optional>

#include "base/clock.h"

namespace azurespur::cell {

class StreamFreshness {
 public:
  // The stream was seen to end at `end`, at `as_of` or later. For a read,
  // `as_of` is when it was sent.
  void LearnEnd(int64_t end, base::MonoTime as_of);

  // All records before `next` are applied.
  void Advance(int64_t next);

  // All records stored before this time are applied. Empty if that is not known
  // for any time.
  std::optional<base::MonoTime> complete_as_of() const {
    return m_complete_as_of;
  }
  int64_t next() const { return m_next; }
  int64_t known_end() const { return m_known_end; }

 private:
  struct KnownEnd {
    int64_t end = 0;
    base::MonoTime as_of{};
  };

  void DropReachedEnds();

  int64_t m_next = 0;
  int64_t m_known_end = 0;
  std::optional<base::MonoTime> m_complete_as_of;
  std::deque<KnownEnd> m_unreached;  // By ascending end and time.
};

}  // namespace azurespur::cell

#endif  // CELL_SRC_STREAM_FRESHNESS_H_
