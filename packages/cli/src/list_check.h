// Check of a list's content by a daemon, without publishing it.

#ifndef CLI_LIST_CHECK_H_
#define CLI_LIST_CHECK_H_

#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "context.h"

namespace azurespur::cli {

// The daemon's answer: "valid", "errors", "version" in force, and the "diff"
// from it. Empty after an error was reported; `exit_code` then says which.
std::optional<nlohmann::json> CheckListFile(Context& context,
                                            const std::string& list,
                                            const std::string& file,
                                            ExitCode& exit_code);

}  // namespace azurespur::cli

#endif  // CLI_LIST_CHECK_H_
