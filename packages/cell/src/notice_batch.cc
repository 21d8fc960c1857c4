#include "notice_batch.h"

#include <algorithm>
#include <utility>

namespace azurespur::cell {

namespace {

// Moves records of up to `max_bytes` from the front of `segment`, or announces
// its first record if that alone is larger than `max_record_bytes`.
RecordsSegment Split(RecordsSegment& segment,
                     size_t max_bytes,
                     size_t max_record_bytes) {
  RecordsSegment part{segment.stream, segment.offset, segment.offset, {}};
  auto& records = segment.records;
  size_t bytes = 0;
  auto at = records.begin();
  while (at != records.end() && bytes + at->size() <= max_bytes) {
    bytes += at->size();
    ++at;
  }
  if (at != records.begin()) {
    part.records.assign(std::make_move_iterator(records.begin()),
                        std::make_move_iterator(at));
  } else if (records.front().size() > max_record_bytes) {
    ++at;
  }
  part.end += at - records.begin();
  records.erase(records.begin(), at);
  segment.offset = part.end;
  return part;
}

size_t BytesOf(std::span<const std::string> records) {
  size_t bytes = 0;
  for (const std::string& record : records) {
    bytes += record.size();
  }
  return bytes;
}

}  // namespace

size_t NoticeBatch::Bytes() const {
  size_t bytes = 0;
  for (const auto* segments : {&m_intake, &m_work}) {
    for (const RecordsSegment& segment : *segments) {
      bytes += BytesOf(segment.records);
    }
  }
  return bytes;
}

void NoticeBatch::Add(Stream stream,
                      int64_t offset,
                      std::span<const std::string> records) {
  std::deque<RecordsSegment>& segments = SegmentsOf(stream);
  const auto end = offset + static_cast<int64_t>(records.size());
  if (!segments.empty() && offset <= segments.back().end) {
    const auto known = std::min<int64_t>(segments.back().end - offset,
                                         static_cast<int64_t>(records.size()));
    records = records.subspan(static_cast<size_t>(known));
  } else if (!records.empty()) {
    segments.push_back({stream, offset, offset, {}});
  }
  if (records.empty()) {
    return;
  }
  RecordsSegment& last = segments.back();
  last.records.insert(last.records.end(), records.begin(), records.end());
  last.end = end;
}

std::vector<RecordsSegment> NoticeBatch::Take(size_t max_bytes) {
  std::vector<RecordsSegment> taken;
  size_t left = max_bytes;
  for (const Stream stream : {Stream::kIntake, Stream::kWork}) {
    std::deque<RecordsSegment>& segments = SegmentsOf(stream);
    while (!segments.empty()) {
      RecordsSegment part = Split(segments.front(), left, max_bytes);
      if (part.end == part.offset) {
        return taken;
      }
      left -= BytesOf(part.records);
      taken.push_back(std::move(part));
      if (segments.front().records.empty()) {
        segments.pop_front();
      }
    }
  }
  return taken;
}

std::vector<RecordsSegment> NoticeBatch::TakeAnnouncements() {
  std::vector<RecordsSegment> taken;
  for (const Stream stream : {Stream::kIntake, Stream::kWork}) {
    std::deque<RecordsSegment>& segments = SegmentsOf(stream);
    if (!segments.empty()) {
      taken.push_back(
          {stream, segments.front().offset, segments.back().end, {}});
      segments.clear();
    }
  }
  return taken;
}

}  // namespace azurespur::cell
