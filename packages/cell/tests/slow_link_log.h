// A FencedLog behind a link that carries a given number of bytes a second, in
// virtual time. All reads in flight share the link.

#ifndef CELL_TESTS_SLOW_LINK_LOG_H_
#define CELL_TESTS_SLOW_LINK_LOG_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "cell/fenced_log.h"
#include "fake_log.h"

namespace azurespur::cell {

class SlowLinkLog : public FencedLog {
 public:
  explicit SlowLinkLog(FakeClock& clock) : m_clock(clock) {}

  // Not part of what this fake is for.
  void Append(AppendRequest /*request*/,
              std::function<void(AppendResult)> done) override {
    done({AppendStatus::kRefused, 0});
  }

  void Read(ReadRequest request,
            std::function<void(ReadResult)> done) override {
    ++reads;
    Transfer transfer;
    transfer.done = std::move(done);
    transfer.sent_at = m_clock.now;
    transfer.last_bytes = m_clock.now;
    const std::vector<std::string>& records = topics[request.topic];
    transfer.result.status = ReadStatus::kRead;
    transfer.result.end = static_cast<int64_t>(records.size());
    transfer.result.latency = kLatency;
    for (auto i = static_cast<size_t>(request.from); i < records.size(); ++i) {
      if (transfer.result.bytes + records[i].size() > request.max_bytes) {
        break;
      }
      transfer.result.bytes += records[i].size();
      transfer.result.records.push_back(records[i]);
    }
    transfer.left = static_cast<double>(transfer.result.bytes);
    transfer.request = std::move(request);
    m_transfers.push_back(std::move(transfer));
  }

  // Lets `step` pass; bytes arrive, and reads complete or time out.
  void Advance(base::Millis step) {
    m_clock.now += step;
    const double share =
        bytes_per_second * static_cast<double>(step.count()) /
        kMillisPerSecond /
        static_cast<double>(std::max<size_t>(1, m_transfers.size()));
    for (Transfer& transfer : std::exchange(m_transfers, {})) {
      Continue(std::move(transfer), share);
    }
  }

  std::map<std::string, std::vector<std::string>> topics;
  double bytes_per_second = 0;
  int reads = 0;

 private:
  static constexpr base::Millis kLatency{4};
  static constexpr double kMillisPerSecond = 1000;

  struct Transfer {
    ReadRequest request;
    ReadResult result;
    std::function<void(ReadResult)> done;
    base::MonoTime sent_at{};
    base::MonoTime last_bytes{};
    double left = 0;
  };

  void Continue(Transfer transfer, double bytes) {
    const bool answered = m_clock.now >= transfer.sent_at + kLatency;
    if (answered && bytes > 0) {
      transfer.left -= bytes;
      transfer.last_bytes = m_clock.now;
    }
    const base::Millis wait = transfer.request.wait;
    const base::Millis stall = transfer.request.stall_timeout;
    const bool late =
        m_clock.now >= transfer.sent_at + wait + transfer.request.timeout;
    const bool stalled =
        stall.count() > 0 && m_clock.now >= transfer.last_bytes + wait + stall;
    if (answered && bytes > 0 && transfer.left <= 0) {
      transfer.done(std::move(transfer.result));
    } else if (late || stalled) {
      transfer.done({});
    } else {
      m_transfers.push_back(std::move(transfer));
    }
  }

  FakeClock& m_clock;
  std::vector<Transfer> m_transfers;
};

}  // namespace azurespur::cell

#endif  // CELL_TESTS_SLOW_LINK_LOG_H_
