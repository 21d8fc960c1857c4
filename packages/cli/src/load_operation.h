// One request or task that `azurespur load` sent.

#ifndef CLI_LOAD_OPERATION_H_
#define CLI_LOAD_OPERATION_H_

#include <cstdint>
#include <string>

#include "base/clock.h"

namespace azurespur::cli {

enum class OperationKind { kRequest, kTask };

struct LoadOperation {
  OperationKind kind = OperationKind::kRequest;
  std::string key;
  std::string plan;
  bool non_idempotent = false;
  std::string sent;  // Body of the request.
  base::MonoTime begun;

  // Of the answer. `fate` is empty without one.
  base::MonoTime ended;
  int64_t answered_wall_ms = 0;
  std::string fate;
  int status = 0;
  std::string answer;
  std::string task_id;  // Of an accepted task.
};

// What is counted: the fate, or "no answer".
std::string FateLabel(const LoadOperation& operation);

// Whether the answer holds the body that was sent.
bool AnswerBelongs(const LoadOperation& operation);

}  // namespace azurespur::cli

#endif  // CLI_LOAD_OPERATION_H_
