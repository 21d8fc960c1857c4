#include "stream_freshness.h"

#include <algorithm>

namespace azurespur::cell {

namespace {

constexpr size_t kMaxUnreachedEnds = 64;

}  // namespace

void StreamFreshness::LearnEnd(int64_t end, base::MonoTime as_of) {
  if (!m_unreached.empty() && as_of <= m_unreached.back().as_of) {
    return;
  }
  m_known_end = std::max(m_known_end, end);
  while (!m_unreached.empty() && m_unreached.back().end >= end) {
    m_unreached.pop_back();
  }
  // Keeps the oldest ends, because they are reached first.
  if (m_unreached.size() == kMaxUnreachedEnds) {
    m_unreached.pop_back();
  }
  m_unreached.push_back({end, as_of});
  DropReachedEnds();
}

void StreamFreshness::Advance(int64_t next) {
  m_next = std::max(m_next, next);
  DropReachedEnds();
}

void StreamFreshness::DropReachedEnds() {
  while (!m_unreached.empty() && m_unreached.front().end <= m_next) {
    const base::MonoTime as_of = m_unreached.front().as_of;
    m_complete_as_of =
        m_complete_as_of ? std::max(*m_complete_as_of, as_of) : as_of;
    m_unreached.pop_front();
  }
}

}  // namespace azurespur::cell
