// Numbered, structured log events. Every id is listed in docs/EVENTS.md.

#ifndef BASE_EVENT_LOG_H_
#define BASE_EVENT_LOG_H_

#include <initializer_list>
#include <string>
#include <string_view>

namespace azurespur::base {

enum class Severity { kInfo, kWarning, kError };

struct EventField {
  std::string_view name;
  std::string value;
};

// Writes one line `ID TEXT name=value ...` to the log. `id` is a literal such
// as "AZ1001".
void LogEvent(Severity severity,
              std::string_view id,
              std::string_view text,
              std::initializer_list<EventField> fields = {});

// Starts glog, writing to standard error. Call once, first thing in main().
void InitEventLog(const char* program);

// From here on events are JSON lines on standard output, written by a thread of
// its own: at most `lines_per_second`, and what is left out is counted. Never
// blocks the caller. StopJsonEvents() writes what waits.
void StartJsonEvents(int lines_per_second);
void StopJsonEvents();

}  // namespace azurespur::base

#endif  // BASE_EVENT_LOG_H_
