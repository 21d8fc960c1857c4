// Records of the log stand-in. Pure: the time is passed in.

#ifndef STANDINS_LOG_STORE_H_
#define STANDINS_LOG_STORE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "standins/log_slice.h"

namespace azurespur::standins {

class LogStore {
 public:
  // Records older than `retention_ms` are dropped; 0 keeps them for good.
  explicit LogStore(int64_t retention_ms) : m_retention_ms(retention_ms) {}

  // Returns the offset of the new record.
  uint64_t Append(std::string_view stream, std::string body, int64_t now_ms);

  // At most `max` records from `from` on, or from the lowest kept offset.
  LogSlice Read(std::string_view stream,
                uint64_t from,
                size_t max,
                int64_t now_ms);

 private:
  struct Stream {
    uint64_t first = 0;
    std::deque<LogRecord> records;
  };

  void Expire(Stream& stream, int64_t now_ms) const;

  const int64_t m_retention_ms;
  std::map<std::string, Stream, std::less<>> m_streams;
};

}  // namespace azurespur::standins

#endif  // STANDINS_LOG_STORE_H_
