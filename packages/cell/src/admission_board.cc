#include "admission_board.h"

#include <iterator>
#include <tuple>

namespace azurespur::cell {

namespace {

// The leader repeats its notices each second while there is overload, so this
// outlasts one lost notice and no more.
constexpr base::Millis kMaxAge{2000};

}  // namespace

void AdmissionBoard::OnNotice(const AdmissionNotice& notice,
                              base::MonoTime now) {
  if (std::tie(notice.epoch, notice.sequence) <=
      std::tie(m_epoch, m_sequence)) {
    return;
  }
  m_epoch = notice.epoch;
  m_sequence = notice.sequence;
  m_heard = now;
  m_rows.clear();
  for (const jobs::AdmissionWait& row : notice.rows) {
    m_rows[row.account][row.priority] = row;
  }
}

const jobs::AdmissionWait* AdmissionBoard::Find(std::string_view account,
                                                int32_t priority,
                                                uint64_t epoch,
                                                base::MonoTime now) const {
  if (m_epoch < epoch || now > m_heard + kMaxAge) {
    return nullptr;
  }
  const auto rows = m_rows.find(account);
  if (rows == m_rows.end()) {
    return nullptr;
  }
  // The last row that isn't less urgent.
  const auto after = rows->second.upper_bound(priority);
  return after == rows->second.begin() ? nullptr : &std::prev(after)->second;
}

}  // namespace azurespur::cell
