#include "records_fan_out.h"

#include <utility>

#include "base/event_log.h"

namespace azurespur::cell {

namespace {

// A tick of the leader. Short against the time after which followers doubt a
// leader that they don't hear (300 ms) and against the age that the answers of
// a follower may have (2 s).
constexpr base::Millis kNoticeInterval{20};
// Each follower reads the log for each of these.
constexpr base::Millis kAnnouncementInterval{200};

}  // namespace

RecordsFanOut::RecordsFanOut(PeerSender& sender,
                             double link_mbps,
                             base::Metrics& metrics)
    : m_sender(sender),
      m_limit(link_mbps),
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
  if (now >= m_next_flush) {
    Flush(now, leader, peers);
  }
}

void RecordsFanOut::Flush(base::MonoTime now,
                          const LeaderInfo& leader,
                          std::span<const std::string> peers) {
  if (m_batch.empty()) {
    return;
  }
  if (!MaySendContents(peers.size(), now)) {
    m_next_flush = now + kAnnouncementInterval;
    SendSegments(m_batch.TakeAnnouncements(), leader, peers);
    return;
  }
  m_next_flush = now + kNoticeInterval;
  while (!m_batch.empty()) {
    SendSegments(m_batch.Take(kMaxNoticeRecordBytes), leader, peers);
  }
}

bool RecordsFanOut::MaySendContents(size_t peers, base::MonoTime now) {
  const bool allowed =
      m_limit.Allows(m_batch.Bytes() * peers, m_sender.LinkWait(), now);
  if (allowed != m_contents_allowed) {
    m_contents_allowed = allowed;
    base::LogEvent(
        allowed ? base::Severity::kInfo : base::Severity::kWarning, "AZ9409",
        allowed ? "sending records to peers again"
                : "link can't carry records to all peers; announcing them only",
        {{"peers", std::to_string(peers)}});
  }
  return allowed;
}

void RecordsFanOut::SendSegments(std::vector<RecordsSegment> segments,
                                 const LeaderInfo& leader,
                                 std::span<const std::string> peers) {
  for (const RecordsSegment& segment : segments) {
    (segment.records.empty() ? m_without_contents : m_with_contents)
        .Add(segment.end - segment.offset);
  }
  m_sender.SendToAll(peers, RecordsNotice{std::move(segments), leader});
}

}  // namespace azurespur::cell
