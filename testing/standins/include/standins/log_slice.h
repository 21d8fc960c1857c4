// The answer to a read of the log stand-in.

#ifndef STANDINS_LOG_SLICE_H_
#define STANDINS_LOG_SLICE_H_

#include <cstdint>
#include <string>
#include <vector>

namespace azurespur::standins {

struct LogRecord {
  uint64_t offset = 0;
  int64_t time_ms = 0;
  std::string body;
};

struct LogSlice {
  uint64_t first = 0;  // Lowest offset still kept.
  uint64_t next = 0;   // Where the next read goes on.
  std::vector<LogRecord> records;
};

}  // namespace azurespur::standins

#endif  // STANDINS_LOG_SLICE_H_
