#include "base/outcome.h"

namespace azurespur::base {

std::string_view ErrorCodeName(ErrorCode code) {
  switch (code) {
    case ErrorCode::kInvalid:
      return "invalid";
    case ErrorCode::kNotFound:
      return "not-found";
    case ErrorCode::kConflict:
      return "conflict";
    case ErrorCode::kUnavailable:
      return "unavailable";
    case ErrorCode::kUnknown:
      return "unknown";
    case ErrorCode::kExhausted:
      return "exhausted";
  }
  return "invalid";
}

}  // namespace azurespur::base
