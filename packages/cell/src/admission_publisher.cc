#include "admission_publisher.h"

#include <algorithm>
#include <cstdlib>
#include <tuple>
#include <utility>

namespace azurespur::cell {

namespace {

using Rows = std::vector<jobs::AdmissionWait>;

constexpr base::Millis kInterval{250};
constexpr base::Millis kRepeatInterval{1000};
constexpr base::Millis kLogInterval{1000};
// As for records: starts wait behind what is sent.
constexpr base::Micros kMaxLinkWait{50000};
// Of a row besides its account's name.
constexpr size_t kRowBytes = 32;

bool ChangedByAQuarter(int64_t sent_ms, int64_t now_ms) {
  return std::abs(now_ms - sent_ms) * 4 >= std::max<int64_t>(sent_ms, 1);
}

bool Changed(const Rows& sent, const Rows& now) {
  return !std::equal(
      sent.begin(), sent.end(), now.begin(), now.end(),
      [](const jobs::AdmissionWait& a, const jobs::AdmissionWait& b) {
        return a.account == b.account && a.priority == b.priority &&
               !ChangedByAQuarter(a.within_rate_ms, b.within_rate_ms) &&
               !ChangedByAQuarter(a.beyond_rate_ms, b.beyond_rate_ms);
      });
}

// Leaves out the shortest waits if not all rows fit into a notice: submissions
// of these accounts are accepted.
void LimitSize(Rows& rows) {
  std::stable_sort(
      rows.begin(), rows.end(),
      [](const jobs::AdmissionWait& a, const jobs::AdmissionWait& b) {
        return a.beyond_rate_ms > b.beyond_rate_ms;
      });
  size_t bytes = 0;
  const auto end = std::find_if(rows.begin(), rows.end(),
                                [&bytes](const jobs::AdmissionWait& row) {
                                  bytes += kRowBytes + row.account.size();
                                  return bytes > kMaxAdmissionNoticeBytes;
                                });
  rows.erase(end, rows.end());
  std::sort(rows.begin(), rows.end(),
            [](const jobs::AdmissionWait& a, const jobs::AdmissionWait& b) {
              return std::tie(a.account, a.priority) <
                     std::tie(b.account, b.priority);
            });
}

}  // namespace

AdmissionPublisher::Update AdmissionPublisher::Publish(uint64_t epoch,
                                                       Rows rows,
                                                       base::Micros link_wait,
                                                       base::MonoTime now) {
  m_next = now + kInterval;
  LimitSize(rows);
  Update update;
  update.notice = {epoch, ++m_sequence, std::move(rows)};
  const Rows& latest = update.notice.rows;
  const bool overloaded = !latest.empty();
  // A wait that comes and goes with each estimate is logged once a second.
  if ((overloaded || m_overloaded) && now >= m_next_log) {
    update.log = true;
    m_overloaded = overloaded;
    m_next_log = now + kLogInterval;
  }
  const bool ended = latest.empty() && !m_sent.empty();
  const bool repeat = !latest.empty() && now >= m_last_sent + kRepeatInterval;
  const bool early = link_wait <= kMaxLinkWait && Changed(m_sent, latest);
  if (ended || repeat || early) {
    update.send_to_peers = true;
    m_last_sent = now;
    m_sent = latest;
  }
  return update;
}

}  // namespace azurespur::cell
