#include "json_event_writer.h"

#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <climits>
#include <memory>
#include <utility>

#include "base/clock.h"
#include "line_chunks.h"

namespace azurespur::base {

namespace {

constexpr Millis kInterval{250};
constexpr size_t kQueueLines = 4096;
constexpr unsigned char kFirstPrintable = 0x20;

std::atomic<JsonEventWriter*> g_writer{nullptr};

std::string_view SeverityName(Severity severity) {
  switch (severity) {
    case Severity::kInfo:
      return "info";
    case Severity::kWarning:
      return "warning";
    case Severity::kError:
      return "error";
  }
  return "error";
}

void AppendQuoted(std::string& line, std::string_view text) {
  line += '"';
  for (char c : text) {
    if (c == '"' || c == '\\') {
      line += '\\';
      line += c;
    } else {
      line += static_cast<unsigned char>(c) < kFirstPrintable ? ' ' : c;
    }
  }
  line += '"';
}

void AppendField(std::string& line,
                 std::string_view name,
                 std::string_view value) {
  line += ',';
  AppendQuoted(line, name);
  line += ':';
  AppendQuoted(line, value);
}

std::string FormatLine(Severity severity,
                       std::string_view id,
                       std::string_view text,
                       std::initializer_list<EventField> fields) {
  std::string line = "{\"unix_ms\":";
  line += std::to_string(SystemClock().WallMillis());
  AppendField(line, "event", id);
  AppendField(line, "severity", SeverityName(severity));
  AppendField(line, "text", text);
  for (const EventField& field : fields) {
    AppendField(line, field.name, field.value);
  }
  line += "}\n";
  return line;
}

// Larger writes to a pipe may be split or cut by who reads it.
constexpr size_t kWriteBytes = PIPE_BUF;

// Returns how many lines could not be written.
int64_t WriteLines(std::string_view text) {
  while (!text.empty()) {
    std::string_view lines = TakeLines(text, kWriteBytes);
    while (!lines.empty()) {
      const ssize_t count = write(STDOUT_FILENO, lines.data(), lines.size());
      if (count < 0 && errno == EINTR) {
        continue;
      }
      if (count <= 0) {
        return std::count(lines.begin(), lines.end(), '\n') +
               std::count(text.begin(), text.end(), '\n');
      }
      lines.remove_prefix(static_cast<size_t>(count));
    }
  }
  return 0;
}

}  // namespace

JsonEventWriter::JsonEventWriter(int lines_per_second)
    : m_lines_per_interval(lines_per_second * kInterval.count() / 1000),
      m_queue(kQueueLines),
      m_left(m_lines_per_interval) {
  m_thread = std::thread([this] { Run(); });
}

JsonEventWriter::~JsonEventWriter() {
  m_stopping.store(true);
  m_thread.join();
  WriteWaiting();
}

JsonEventWriter* JsonEventWriter::Current() {
  return g_writer.load(std::memory_order_acquire);
}

void JsonEventWriter::Start(int lines_per_second) {
  if (Current() == nullptr) {
    g_writer.store(new JsonEventWriter(lines_per_second));
  }
}

void JsonEventWriter::Stop() {
  delete g_writer.exchange(nullptr);
}

void JsonEventWriter::Write(Severity severity,
                            std::string_view id,
                            std::string_view text,
                            std::initializer_list<EventField> fields) {
  if (m_left.fetch_sub(1) <= 0) {
    m_omitted.fetch_add(1);
    return;
  }
  auto line =
      std::make_unique<std::string>(FormatLine(severity, id, text, fields));
  if (m_queue.bounded_push(line.get())) {
    (void)line.release();
  } else {
    m_omitted.fetch_add(1);
  }
}

void JsonEventWriter::Run() {
  while (!m_stopping.load()) {
    std::this_thread::sleep_for(kInterval);
    WriteWaiting();
    m_left.store(m_lines_per_interval);
  }
}

void JsonEventWriter::WriteWaiting() {
  std::string text;
  std::string* raw = nullptr;
  while (m_queue.pop(raw)) {
    const std::unique_ptr<std::string> line(raw);
    text += *line;
  }
  const int64_t omitted = m_omitted.exchange(0);
  if (omitted > 0) {
    text += FormatLine(Severity::kWarning, "AZ1006", "log lines were left out",
                       {{"lines", std::to_string(omitted)}});
  }
  m_omitted.fetch_add(WriteLines(text));
}

}  // namespace azurespur::base
