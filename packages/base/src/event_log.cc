#include "base/event_log.h"

#include <glog/logging.h>

#include "json_event_writer.h"

namespace azurespur::base {

namespace {

// Values with blanks or quotes are quoted so that a line splits on blanks.
std::string QuoteIfNeeded(std::string_view value) {
  if (!value.empty() &&
      value.find_first_of(" \"\n=") == std::string_view::npos) {
    return std::string(value);
  }
  std::string quoted = "\"";
  for (char c : value) {
    if (c == '"' || c == '\\') {
      quoted += '\\';
    }
    quoted += c == '\n' ? ' ' : c;
  }
  return quoted + "\"";
}

google::LogSeverity ToGlog(Severity severity) {
  switch (severity) {
    case Severity::kInfo:
      return google::GLOG_INFO;
    case Severity::kWarning:
      return google::GLOG_WARNING;
    case Severity::kError:
      return google::GLOG_ERROR;
  }
  return google::GLOG_ERROR;
}

}  // namespace

void LogEvent(Severity severity,
              std::string_view id,
              std::string_view text,
              std::initializer_list<EventField> fields) {
  if (JsonEventWriter* writer = JsonEventWriter::Current()) {
    writer->Write(severity, id, text, fields);
    return;
  }
  std::string line(id);
  line += ' ';
  line += text;
  for (const EventField& field : fields) {
    line += ' ';
    line += field.name;
    line += '=';
    line += QuoteIfNeeded(field.value);
  }
  google::LogMessage("event", 0, ToGlog(severity)).stream() << line;
}

void InitEventLog(const char* program) {
  FLAGS_logtostderr = true;
  google::InitGoogleLogging(program);
}

void StartJsonEvents(int lines_per_second) {
  JsonEventWriter::Start(lines_per_second);
}

void StopJsonEvents() {
  JsonEventWriter::Stop();
}

}  // namespace azurespur::base
