#include "read_size.h"

#include <algorithm>

namespace azurespur::cell {

namespace {

constexpr size_t kMinBytes = 16 << 10;
constexpr size_t kMaxBytes = 1 << 20;
// A page that arrives in this time could have been twice as large.
constexpr base::Millis kFastTransfer{125};
// A page should not take longer: what it holds is applied only when it is
// complete.
constexpr base::Millis kSlowTransfer{500};
constexpr base::Millis kTargetTransfer{250};

}  // namespace

void ReadSize::OnRead(size_t received, base::Millis transfer) {
  const bool full = received >= m_bytes / 2;
  if (transfer > kSlowTransfer) {
    const auto scaled = m_bytes * static_cast<size_t>(kTargetTransfer.count()) /
                        static_cast<size_t>(transfer.count());
    m_bytes = std::max(kMinBytes, scaled);
  } else if (full && transfer <= kFastTransfer) {
    m_bytes = std::min(kMaxBytes, m_bytes * 2);
  }
}

void ReadSize::OnFailure() {
  m_bytes = std::max(kMinBytes, m_bytes / 2);
}

void ReadSize::OnRecordTooLarge() {
  m_bytes = std::min(kMaxBytes, m_bytes * 2);
}

}  // namespace azurespur::cell
