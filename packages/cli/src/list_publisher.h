// Publishes an edit of a list and learns its fate.

#ifndef CLI_LIST_PUBLISHER_H_
#define CLI_LIST_PUBLISHER_H_

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

#include "context.h"

namespace azurespur::cli {

struct ListEditSpec {
  std::string list;
  uint64_t base_version = 0;
  std::string author;
  std::string content;  // JSON text.
};

struct PublishReport {
  ExitCode exit_code = ExitCode::kOk;
  // The daemon's answer; null if there was none. A call without an answer is
  // looked up by the edit's id through any server.
  nlohmann::json answer;
};

PublishReport PublishEdit(Context& context, const ListEditSpec& edit);

// Prints the report's answer: accepted, conflict with the diff, or errors.
void PrintPublishReport(Context& context,
                        const ListEditSpec& edit,
                        const PublishReport& report);

// `path: error` lines on the error stream.
void PrintListErrors(Context& context, const nlohmann::json& errors);

// One line a row, then one a changed field.
void PrintListDiff(std::ostream& out, const nlohmann::json& diff);

}  // namespace azurespur::cli

#endif  // CLI_LIST_PUBLISHER_H_
