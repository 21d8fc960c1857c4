#include "records_fan_out.h"

#include <utility>

namespace azurespur::cell {

RecordsFanOut::RecordsFanOut(PeerSender& sender,
                             double /*link_mbps*/,
                             base::Metrics& metrics)
    : m_sender(sender),
      m_with_contents(metrics.GetCounter(
          "azurespur_records_announced_total{contents=\"true\"}")),
      m_without_contents(metrics.GetCounter(
          "azurespur_records_announced_total{contents=\"false\"}")) {}

void RecordsFanOut::Add(Stream stream,
                        int64_t offset,
                        std::span<const std::string> records) {
  m_batch.Add(stream, offset, records);
}

void RecordsFanOut::FlushIfDue(base::MonoTime now,
                               const LeaderInfo& leader,
                               std::span<const std::string> peers) {
  Flush(now, leader, peers);
}

void RecordsFanOut::Flush(base::MonoTime /*now*/,
                          const LeaderInfo& leader,
                          std::span<const std::string> peers) {
  while (!m_batch.empty()) {
    SendSegments(m_batch.Take(kMaxNoticeRecordBytes), leader, peers);
  }
}

void RecordsFanOut::SendSegments(std::vector<RecordsSegment> segments,
                                 const LeaderInfo& leader,
                                 std::span<const std::string> peers) {
  for (const RecordsSegment& segment : segments) {
    (segment.records.empty() ? m_without_contents : m_with_contents)
        .Add(segment.end - segment.offset);
  }
  const RecordsNotice notice{std::move(segments), leader};
  for (const std::string& peer : peers) {
    m_sender.Send(peer, notice);
  }
}

}  // namespace azurespur::cell
