#include "base/setting_name.h"

#include <cctype>

namespace azurespur::base {

std::string EnvironmentName(std::string_view flag) {
  std::string name = "AZURESPUR_";
  for (char c : flag.substr(2)) {
    name += c == '-' ? '_' : static_cast<char>(std::toupper(c));
  }
  return name;
}

}  // namespace azurespur::base
