// Estimates how long the bytes that this VM sends wait for its link.

#ifndef BASE_LINK_QUEUE_H_
#define BASE_LINK_QUEUE_H_

#include <cstddef>
#include <mutex>

#include "base/clock.h"

namespace azurespur::base {

// All that is sent over the link passes it in the order of Add(), at the rate
// of the link. Thread-safe.
class LinkQueue {
 public:
  // Never waits if `mbps`, the rate of the link in Mbit/s, is 0 (unknown).
  explicit LinkQueue(double mbps = 0, const Clock& clock = SystemClock());

  // Bytes are handed to the network now; returns how long they wait for those
  // before them.
  Micros Add(size_t bytes);

  // How long a byte that is sent now would wait.
  Micros Wait() const;

 private:
  Micros WaitAt(MonoTime now) const;

  const double m_micros_per_byte;
  const Clock& m_clock;
  mutable std::mutex m_mutex;
  MonoTime m_free_at{};  // When the link will have sent all bytes so far.
};

}  // namespace azurespur::base

#endif  // BASE_LINK_QUEUE_H_
