// Finds transfers whose peer has sent nothing for too long. Reads no clock.

#ifndef HTTP_SRC_STALL_WATCH_H_
#define HTTP_SRC_STALL_WATCH_H_

#include <algorithm>
#include <optional>
#include <vector>

#include "base/clock.h"

namespace azurespur::http {

// `Transfer` names a transfer. Meant for few transfers at a time: each call
// looks at all of them.
template <typename Transfer>
class StallWatch {
 public:
  // Watches the transfer until Remove().
  void Add(Transfer transfer, base::Millis timeout, base::MonoTime now) {
    m_watched.push_back({transfer, timeout, now});
  }

  void Remove(Transfer transfer) {
    std::erase_if(m_watched, [transfer](const Watched& watched) {
      return watched.transfer == transfer;
    });
  }

  // Bytes have arrived.
  void OnBytes(Transfer transfer, base::MonoTime now) {
    for (Watched& watched : m_watched) {
      if (watched.transfer == transfer) {
        watched.last_bytes = now;
      }
    }
  }

  // When the next transfer is due if nothing arrives before.
  std::optional<base::MonoTime> NextDeadline() const {
    std::optional<base::MonoTime> next;
    for (const Watched& watched : m_watched) {
      const base::MonoTime deadline = watched.last_bytes + watched.timeout;
      next = next ? std::min(*next, deadline) : deadline;
    }
    return next;
  }

  // Transfers that have received nothing for their timeout.
  std::vector<Transfer> Stalled(base::MonoTime now) const {
    std::vector<Transfer> stalled;
    for (const Watched& watched : m_watched) {
      if (now >= watched.last_bytes + watched.timeout) {
        stalled.push_back(watched.transfer);
      }
    }
    return stalled;
  }

 private:
  struct Watched {
    Transfer transfer;
    base::Millis timeout;
    base::MonoTime last_bytes;
  };

  std::vector<Watched> m_watched;
};

}  // namespace azurespur::http

#endif  // HTTP_SRC_STALL_WATCH_H_
