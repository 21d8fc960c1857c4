#include "standins/log_store.h"

#include <algorithm>
#include <utility>

namespace azurespur::standins {

uint64_t LogStore::Append(std::string_view stream,
                          std::string body,
                          int64_t now_ms) {
  Stream& kept = m_streams[std::string(stream)];
  const uint64_t offset = kept.first + kept.records.size();
  kept.records.push_back({offset, now_ms, std::move(body)});
  Expire(kept, now_ms);
  return offset;
}

LogSlice LogStore::Read(std::string_view stream,
                        uint64_t from,
                        size_t max,
                        int64_t now_ms) {
  LogSlice slice;
  const auto it = m_streams.find(stream);
  if (it == m_streams.end()) {
    slice.next = from;
    return slice;
  }
  Stream& kept = it->second;
  Expire(kept, now_ms);
  slice.first = kept.first;
  slice.next = std::max(from, kept.first);
  const uint64_t end = kept.first + kept.records.size();
  while (slice.next < end && slice.records.size() < max) {
    slice.records.push_back(kept.records[slice.next - kept.first]);
    ++slice.next;
  }
  return slice;
}

void LogStore::Expire(Stream& stream, int64_t now_ms) const {
  while (m_retention_ms > 0 && !stream.records.empty() &&
         stream.records.front().time_ms + m_retention_ms <= now_ms) {
    stream.records.pop_front();
    ++stream.first;
  }
}

}  // namespace azurespur::standins
