// Tells whether the responses that arrive fill this VM's link. Reads no clock.

#ifndef HTTP_SRC_LINK_METER_H_
#define HTTP_SRC_LINK_METER_H_

#include <cstddef>
#include <cstdint>
#include <deque>

#include "base/clock.h"

namespace azurespur::http {

class LinkMeter {
 public:
  // 0 if unknown: such a link never counts as full.
  explicit LinkMeter(double link_mbps = 0);

  bool known() const { return m_full_bytes > 0; }

  // Bytes of a response have arrived.
  void OnBytes(size_t bytes, base::MonoTime now);

  // True if hardly more could have arrived of late.
  bool IsFull(base::MonoTime now) const;

 private:
  struct Slot {
    base::MonoTime begin;
    int64_t bytes = 0;
  };

  const int64_t m_full_bytes;
  std::deque<Slot> m_slots;
};

}  // namespace azurespur::http

#endif  // HTTP_SRC_LINK_METER_H_
