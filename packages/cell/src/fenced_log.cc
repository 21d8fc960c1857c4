#include "cell/fenced_log.h"

namespace azurespur::cell {

std::string_view AppendStatusName(AppendStatus status) {
  switch (status) {
    case AppendStatus::kAppended:
      return "appended";
    case AppendStatus::kWrongEnd:
      return "wrong-end";
    case AppendStatus::kFenced:
      return "fenced";
    case AppendStatus::kWrongSequence:
      return "wrong-sequence";
    case AppendStatus::kRefused:
      return "refused";
    case AppendStatus::kUnknown:
      return "unknown";
  }
  return "";
}

}  // namespace azurespur::cell
