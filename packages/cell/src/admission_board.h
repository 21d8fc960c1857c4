// What a VM knows of how long new jobs would wait. Does no I/O and reads no
// clock.

#ifndef CELL_SRC_ADMISSION_BOARD_H_
#define CELL_SRC_ADMISSION_BOARD_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "cell/messages.h"

namespace azurespur::cell {

class AdmissionBoard {
 public:
  // Ignores a notice that is older than the known one.
  void OnNotice(const AdmissionNotice& notice, base::MonoTime now);

  // The row for a new job of the account in a queue of this priority; null if
  // it wouldn't wait, or if nothing recent of a leader of `epoch`, the latest
  // that this VM knows of, is known. Valid until the next notice.
  const jobs::AdmissionWait* Find(std::string_view account,
                                  int32_t priority,
                                  uint64_t epoch,
                                  base::MonoTime now) const;

 private:
  using Rows = std::map<int32_t, jobs::AdmissionWait>;  // By priority.

  uint64_t m_epoch = 0;
  uint64_t m_sequence = 0;
  base::MonoTime m_heard{};
  std::map<std::string, Rows, std::less<>> m_rows;  // By account.
};

}  // namespace azurespur::cell

#endif  // CELL_SRC_ADMISSION_BOARD_H_
