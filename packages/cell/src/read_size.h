// Chooses how much a read of the log asks for, from how long earlier reads
// took. Reads no clock.

#ifndef CELL_SRC_READ_SIZE_H_
#define CELL_SRC_READ_SIZE_H_

#include <cstddef>

#include "base/clock.h"

namespace azurespur::cell {

class ReadSize {
 public:
  // What the next read should ask for.
  size_t bytes() const { return m_bytes; }

  // A read brought `received` bytes within `transfer` of their first one.
  void OnRead(size_t received, base::Millis transfer);

  void OnFailure();

  // The next record is larger than what was asked for.
  void OnRecordTooLarge();

 private:
  static constexpr size_t kFirstBytes = 64 << 10;

  size_t m_bytes = kFirstBytes;
};

}  // namespace azurespur::cell

#endif  // CELL_SRC_READ_SIZE_H_
