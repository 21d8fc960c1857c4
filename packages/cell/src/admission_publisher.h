// Decides, on the leader, when the VMs of the cell are told how long new jobs
// would wait. Does no I/O and reads no clock.

#ifndef CELL_SRC_ADMISSION_PUBLISHER_H_
#define CELL_SRC_ADMISSION_PUBLISHER_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "base/clock.h"
#include "cell/messages.h"

namespace azurespur::cell {

// 40 followers on a link of 10 Mbit/s get a notice of this size within 0.13 s.
inline constexpr size_t kMaxAdmissionNoticeBytes = 4 << 10;

// For one term.
class AdmissionPublisher {
 public:
  struct Update {
    AdmissionNotice notice;
    bool send_to_peers = false;
    // True once a second during the overload, and after its end.
    bool log = false;
  };

  // True if new estimates are due, each kInterval.
  bool IsDue(base::MonoTime now) const { return now >= m_next; }

  // `link_wait` is how long a datagram would wait for this VM's link.
  Update Publish(uint64_t epoch,
                 std::vector<jobs::AdmissionWait> rows,
                 base::Micros link_wait,
                 base::MonoTime now);

 private:
  uint64_t m_sequence = 0;
  base::MonoTime m_next{};
  base::MonoTime m_last_sent{};
  base::MonoTime m_next_log{};
  bool m_overloaded = false;
  std::vector<jobs::AdmissionWait> m_sent;
};

}  // namespace azurespur::cell

#endif  // CELL_SRC_ADMISSION_PUBLISHER_H_
