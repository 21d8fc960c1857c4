// Pieces in which text of whole lines is written to a pipe.

#ifndef BASE_SRC_LINE_CHUNKS_H_
#define BASE_SRC_LINE_CHUNKS_H_

#include <cstddef>
#include <string_view>

namespace azurespur::base {

// Takes off the front of `text` as many whole lines as fit into `max_bytes`, at
// least one line. Empty only if `text` is.
std::string_view TakeLines(std::string_view& text, size_t max_bytes);

}  // namespace azurespur::base

#endif  // BASE_SRC_LINE_CHUNKS_H_
