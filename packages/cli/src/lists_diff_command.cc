// `azurespur lists diff`: what changed between two versions, or what a file
// would change.

#include <CLI/CLI.hpp>
#include <memory>
#include <optional>
#include <ostream>
#include <string>

#include "answers.h"
#include "commands.h"
#include "list_arguments.h"
#include "list_check.h"
#include "list_publisher.h"

namespace azurespur::cli {

namespace {

using nlohmann::json;

struct DiffOptions {
  std::string list;
  std::string file;
  std::optional<uint64_t> from;
  std::optional<uint64_t> to;
};

ExitCode Print(Context& context, const json& answer) {
  if (context.output == OutputFormat::kJson) {
    PrintJson(context, answer);
    return ExitCode::kOk;
  }
  const json diff = answer.value("diff", json::array());
  if (diff.empty()) {
    context.streams.out << "no difference\n";
  }
  PrintListDiff(context.streams.out, diff);
  return ExitCode::kOk;
}

ExitCode DiffFile(Context& context, const DiffOptions& options) {
  ExitCode exit_code = ExitCode::kOk;
  const std::optional<json> answer =
      CheckListFile(context, options.list, options.file, exit_code);
  if (!answer) {
    return exit_code;
  }
  if (!answer->value("valid", false)) {
    PrintListErrors(context, answer->value("errors", json::array()));
    return ExitCode::kUsage;
  }
  return Print(context, *answer);
}

// Without flags: what the version in force changed.
ExitCode DiffVersions(Context& context, const DiffOptions& options) {
  const std::string path = "/v1/lists/" + options.list;
  ExitCode exit_code = ExitCode::kOk;
  json answer;
  uint64_t to = options.to.value_or(0);
  if (!options.to) {
    if (!Fetch(context, path, answer, exit_code)) {
      return exit_code;
    }
    to = answer.value("version", uint64_t{0});
  }
  const uint64_t from = options.from.value_or(to > 0 ? to - 1 : 0);
  const std::string query =
      "/diff?from=" + std::to_string(from) + "&to=" + std::to_string(to);
  if (!Fetch(context, path + query, answer, exit_code)) {
    return exit_code;
  }
  return Print(context, answer);
}

}  // namespace

void AddListsDiffCommand(CLI::App& lists, Command& chosen) {
  CLI::App* command = lists.add_subcommand(
      "diff",
      "Show what FILE would change, or what changed between two versions");
  const auto options = std::make_shared<DiffOptions>();
  AddListName(*command, options->list);
  CLI::Option* file = command->add_option("FILE", options->file,
                                          "The list, - for standard "
                                          "input");
  command->add_option("--from", options->from, "Older version")->excludes(file);
  command->add_option("--to", options->to, "Newer version")->excludes(file);
  command->callback([&chosen, options] {
    chosen = [options](Context& context) {
      return options->file.empty() ? DiffVersions(context, *options)
                                   : DiffFile(context, *options);
    };
  });
}

}  // namespace azurespur::cli
