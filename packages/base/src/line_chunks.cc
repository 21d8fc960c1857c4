#include "line_chunks.h"

#include <algorithm>

namespace azurespur::base {

std::string_view TakeLines(std::string_view& text, size_t max_bytes) {
  size_t end = text.size();
  if (end > max_bytes) {
    size_t newline = max_bytes == 0 ? std::string_view::npos
                                    : text.rfind('\n', max_bytes - 1);
    if (newline == std::string_view::npos) {
      newline = text.find('\n');
    }
    end = newline == std::string_view::npos ? text.size() : newline + 1;
  }
  const std::string_view lines = text.substr(0, end);
  text.remove_prefix(end);
  return lines;
}

}  // namespace azurespur::base
