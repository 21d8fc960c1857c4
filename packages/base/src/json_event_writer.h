// Writes events as JSON lines to standard output from a thread of its own.

#ifndef BASE_SRC_JSON_EVENT_WRITER_H_
#define BASE_SRC_JSON_EVENT_WRITER_H_

#include <atomic>
#include <boost/lockfree/queue.hpp>
#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <thread>

#include "base/event_log.h"

namespace azurespur::base {

class JsonEventWriter {
 public:
  explicit JsonEventWriter(int lines_per_second);
  JsonEventWriter(const JsonEventWriter&) = delete;
  JsonEventWriter& operator=(const JsonEventWriter&) = delete;
  ~JsonEventWriter();

  // Null unless started.
  static JsonEventWriter* Current();
  static void Start(int lines_per_second);
  static void Stop();

  void Write(Severity severity,
             std::string_view id,
             std::string_view text,
             std::initializer_list<EventField> fields);

 private:
  void Run();
  void WriteWaiting();

  const int64_t m_lines_per_interval;
  boost::lockfree::queue<std::string*> m_queue;
  std::atomic<int64_t> m_left{0};     // Lines that may still be queued.
  std::atomic<int64_t> m_omitted{0};  // Since the last line that said so.
  std::atomic<bool> m_stopping{false};
  std::thread m_thread;
};

}  // namespace azurespur::base

#endif  // BASE_SRC_JSON_EVENT_WRITER_H_
