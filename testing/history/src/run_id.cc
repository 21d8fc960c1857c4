#include "run_id.h"

namespace azurespur::history {

RunId ParseRunId(std::string_view id) {
  const size_t last = id.rfind('~');
  if (last == std::string_view::npos || last == 0) {
    return {};
  }
  const size_t first = id.rfind('~', last - 1);
  if (first == std::string_view::npos) {
    return {};
  }
  return {std::string(id.substr(0, first)), std::string(id.substr(last + 1))};
}

}  // namespace azurespur::history
