#include "load_operation.h"

#include <nlohmann/json.hpp>

namespace azurespur::cli {

std::string FateLabel(const LoadOperation& operation) {
  return operation.fate.empty() ? "no answer" : operation.fate;
}

bool AnswerBelongs(const LoadOperation& operation) {
  using nlohmann::json;
  const json answer = json::parse(operation.answer, nullptr, false);
  const json sent = json::parse(operation.sent, nullptr, false);
  return answer.is_object() && answer.contains("echo") &&
         answer["echo"] == sent;
}

}  // namespace azurespur::cli
