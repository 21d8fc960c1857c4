// A place where a history breaks a rule.

#ifndef HISTORY_VIOLATION_H_
#define HISTORY_VIOLATION_H_

#include <string>

namespace azurespur::history {

struct Violation {
  std::string rule;
  std::string text;
};

}  // namespace azurespur::history

#endif  // HISTORY_VIOLATION_H_
