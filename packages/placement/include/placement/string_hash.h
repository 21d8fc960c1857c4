// Hash maps with string keys that support lookup by std::string_view.

#ifndef PLACEMENT_STRING_HASH_H_
#define PLACEMENT_STRING_HASH_H_

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>
#include <unordered_map>

namespace azurespur::placement {

struct StringHash {
  using is_transparent = void;

  size_t operator()(std::string_view text) const {
    return std::hash<std::string_view>{}(text);
  }
};

template <typename T>
using StringMap =
    std::unordered_map<std::string, T, StringHash, std::equal_to<>>;

}  // namespace azurespur::placement

#endif  // PLACEMENT_STRING_HASH_H_
