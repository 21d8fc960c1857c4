// Ids of runs on workers: TASK~ATTEMPT~MEMBER.

#ifndef HISTORY_RUN_ID_H_
#define HISTORY_RUN_ID_H_

#include <string>
#include <string_view>

namespace azurespur::history {

struct RunId {
  std::string task;  // Empty for ids that name no task, such as markers.
  std::string member;
};

RunId ParseRunId(std::string_view id);

}  // namespace azurespur::history

#endif  // HISTORY_RUN_ID_H_
