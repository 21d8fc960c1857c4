// Follows a task to its end.

#ifndef CLI_TASK_FOLLOWER_H_
#define CLI_TASK_FOLLOWER_H_

#include <nlohmann/json.hpp>
#include <string>

#include "base/clock.h"
#include "context.h"

namespace azurespur::cli {

// Whether the fate can't change any more.
bool IsFinalFate(const std::string& fate);

// 0 for accepted, under way or finished; 1 for failed or cancelled; 4
// otherwise.
ExitCode ExitCodeOfFate(const std::string& fate);

// Prints a task as the daemons describe it.
void PrintTask(Context& context, const nlohmann::json& task);

// Asks until the task has ended or `limit` has passed, prints it, and reports
// changes of its fate as progress.
ExitCode FollowTask(Context& context,
                    const std::string& id,
                    base::Millis limit);

}  // namespace azurespur::cli

#endif  // CLI_TASK_FOLLOWER_H_
