// Announces stored records of both streams to the leader's peers.

#ifndef CELL_SRC_RECORDS_FAN_OUT_H_
#define CELL_SRC_RECORDS_FAN_OUT_H_

#include <cstdint>
#include <span>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/metrics.h"
#include "cell/messages.h"
#include "fan_out_limit.h"
#include "notice_batch.h"
#include "peer_sender.h"

namespace azurespur::cell {

// A RecordsNotice for more bytes of records is sent without them, so that the
// receiver reads the log.
inline constexpr size_t kMaxNoticeRecordBytes = 12 << 10;

class RecordsFanOut {
 public:
  RecordsFanOut(PeerSender& sender, double link_mbps, base::Metrics& metrics);

  void Add(Stream stream, int64_t offset, std::span<const std::string> records);

  // Sends the records added to `peers` ("IP:PORT" each) unless the last notice
  // was sent only just now.
  void FlushIfDue(base::MonoTime now,
                  const LeaderInfo& leader,
                  std::span<const std::string> peers);

  // Sends them at once.
  void Flush(base::MonoTime now,
             const LeaderInfo& leader,
             std::span<const std::string> peers);

 private:
  void SendSegments(std::vector<RecordsSegment> segments,
                    const LeaderInfo& leader,
                    std::span<const std::string> peers);
  bool MaySendContents(size_t peers, base::MonoTime now);

  PeerSender& m_sender;
  FanOutLimit m_limit;
  NoticeBatch m_batch;
  base::Counter& m_with_contents;
  base::Counter& m_without_contents;
  base::MonoTime m_next_flush{};
  bool m_contents_allowed = true;
};

}  // namespace azurespur::cell

#endif  // CELL_SRC_RECORDS_FAN_OUT_H_
