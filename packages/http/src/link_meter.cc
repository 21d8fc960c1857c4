#include "link_meter.h"

#include "base/link_rate.h"

namespace azurespur::http {

namespace {

constexpr base::Millis kWindow{200};
constexpr base::Millis kSlot{10};
// The rest is left to packet headers and to datagrams, which aren't counted.
constexpr double kFullShare = 0.7;

}  // namespace

LinkMeter::LinkMeter(double link_mbps)
    : m_full_bytes(static_cast<int64_t>(
          link_mbps * base::kBytesPerMillisPerMbps *
          static_cast<double>(kWindow.count()) * kFullShare)) {}

void LinkMeter::OnBytes(size_t bytes, base::MonoTime now) {
  if (!known()) {
    return;
  }
  while (!m_slots.empty() && m_slots.front().begin + kWindow <= now) {
    m_slots.pop_front();
  }
  if (m_slots.empty() || m_slots.back().begin + kSlot <= now) {
    m_slots.push_back({now, 0});
  }
  m_slots.back().bytes += static_cast<int64_t>(bytes);
}

bool LinkMeter::IsFull(base::MonoTime now) const {
  int64_t bytes = 0;
  for (const Slot& slot : m_slots) {
    bytes += slot.begin + kWindow > now ? slot.bytes : 0;
  }
  return known() && bytes >= m_full_bytes;
}

}  // namespace azurespur::http
