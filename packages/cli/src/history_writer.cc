#include "history_writer.h"

#include <nlohmann/json.hpp>

namespace azurespur::cli {

namespace {

using nlohmann::json;

std::string Line(const json& value) {
  return value.dump(-1, ' ', false, json::error_handler_t::replace) + "\n";
}

json RequestAnswer(const LoadOperation& operation) {
  return {{"event", "request-answer"},
          {"key", operation.key},
          {"sent", operation.sent},
          {"answer", operation.answer},
          {"body_ok", AnswerBelongs(operation)}};
}

json TaskAnswer(const LoadOperation& operation) {
  return {{"event", "task-answer"},
          {"key", operation.key},
          {"task", operation.task_id},
          {"accepted", operation.fate == "accepted"}};
}

}  // namespace

base::Outcome<base::Unit> HistoryWriter::Open(const std::string& file) {
  if (file.empty()) {
    return base::Unit{};
  }
  m_out.open(file, std::ios::trunc);
  if (!m_out) {
    return base::Error{base::ErrorCode::kInvalid,
                       "file \"" + file + "\" can't be written"};
  }
  return base::Unit{};
}

void HistoryWriter::AddAnswer(const LoadOperation& operation) {
  if (!m_out.is_open()) {
    return;
  }
  json line = operation.kind == OperationKind::kRequest
                  ? RequestAnswer(operation)
                  : TaskAnswer(operation);
  line["time_ms"] = operation.answered_wall_ms;
  line["plan"] = operation.plan;
  line["non_idempotent"] = operation.non_idempotent;
  line["fate"] = operation.fate;
  line["status"] = operation.status;
  m_out << Line(line);
}

void HistoryWriter::AddTaskFate(const std::string& task_id,
                                const std::string& fate,
                                int64_t wall_ms) {
  if (m_out.is_open()) {
    m_out << Line({{"event", "task-fate"},
                   {"time_ms", wall_ms},
                   {"task", task_id},
                   {"fate", fate}});
  }
}

}  // namespace azurespur::cli
