// One fault of a list's content.

#ifndef CONTROL_LIST_ERROR_H_
#define CONTROL_LIST_ERROR_H_

#include <string>

namespace azurespur::control {

struct ListError {
  std::string path;  // JSON pointer, such as "/plans/3/allowance".
  std::string text;  // Names the value, such as `"gold" names no allowance`.
};

}  // namespace azurespur::control

#endif  // CONTROL_LIST_ERROR_H_
