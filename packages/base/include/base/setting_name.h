// Names of settings.

#ifndef BASE_SETTING_NAME_H_
#define BASE_SETTING_NAME_H_

#include <string>
#include <string_view>

namespace azurespur::base {

// Environment variable of a flag: --log-url is AZURESPUR_LOG_URL.
std::string EnvironmentName(std::string_view flag);

}  // namespace azurespur::base

#endif  // BASE_SETTING_NAME_H_
