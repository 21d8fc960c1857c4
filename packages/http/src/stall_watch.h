// Finds transfers whose peer has sent nothing for too long. Reads no clock.

#ifndef HTTP_SRC_STALL_WATCH_H_
#define HTTP_SRC_STALL_WATCH_H_

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "base/clock.h"

namespace azurespur::http {

struct StallLimits {
  base::Millis timeout{0};  // Longest silence.
  // Added before the first byte: how long the peer may wait to answer.
  base::Millis answer_wait{0};
  // Added at most while responses to other calls fill the link.
  base::Millis max_link_wait{0};
};

// `Transfer` names a transfer.
template <typename Transfer>
class StallWatch {
 public:
  // Watches the transfer until Remove().
  void Add(Transfer transfer, const StallLimits& limits, base::MonoTime now) {
    const base::MonoTime deadline = now + limits.answer_wait + limits.timeout;
    m_watched[transfer] = {limits, deadline, deadline};
    m_deadlines.emplace(deadline, transfer);
  }

  void Remove(Transfer transfer) {
    const auto node = m_watched.extract(transfer);
    if (!node.empty()) {
      m_deadlines.erase({node.mapped().deadline, transfer});
    }
  }

  // Bytes have arrived.
  void OnBytes(Transfer transfer, base::MonoTime now) {
    const auto found = m_watched.find(transfer);
    if (found != m_watched.end()) {
      found->second.silent_at = now + found->second.limits.timeout;
      Move(*found, found->second.silent_at);
    }
  }

  // When the next transfer is due if nothing arrives before.
  std::optional<base::MonoTime> NextDeadline() const {
    return m_deadlines.empty() ? std::nullopt
                               : std::optional(m_deadlines.begin()->first);
  }

  // Transfers that have received nothing for their timeout. While `link_full`,
  // one that may wait for the link is due a little later instead.
  std::vector<Transfer> Stalled(base::MonoTime now, bool link_full = false) {
    std::vector<Transfer> stalled;
    std::vector<Transfer> due;
    for (const auto& [deadline, transfer] : m_deadlines) {
      if (deadline > now) {
        break;
      }
      due.push_back(transfer);
    }
    for (Transfer transfer : due) {
      auto& entry = *m_watched.find(transfer);
      const base::MonoTime last =
          entry.second.silent_at + entry.second.limits.max_link_wait;
      if (link_full && now < last) {
        Move(entry, std::min(now + kLinkRecheckInterval, last));
      } else {
        stalled.push_back(transfer);
      }
    }
    return stalled;
  }

 private:
  static constexpr base::Millis kLinkRecheckInterval{20};

  struct Watched {
    StallLimits limits;
    base::MonoTime silent_at;  // Silent for its timeout at this time.
    base::MonoTime deadline;   // The same, or later for the link's sake.
  };

  void Move(std::pair<const Transfer, Watched>& entry,
            base::MonoTime deadline) {
    auto node = m_deadlines.extract({entry.second.deadline, entry.first});
    entry.second.deadline = deadline;
    node.value().first = deadline;
    m_deadlines.insert(std::move(node));
  }

  std::map<Transfer, Watched> m_watched;
  std::set<std::pair<base::MonoTime, Transfer>> m_deadlines;
};

}  // namespace azurespur::http

#endif  // HTTP_SRC_STALL_WATCH_H_
