// `azurespur lists check`: checks a file as the next version of a list.

#include <CLI/CLI.hpp>
#include <memory>
#include <ostream>
#include <string>

#include "answers.h"
#include "commands.h"
#include "list_arguments.h"
#include "list_check.h"
#include "list_publisher.h"

namespace azurespur::cli {

namespace {

struct CheckOptions {
  std::string list;
  std::string file;
};

ExitCode Check(Context& context, const CheckOptions& options) {
  ExitCode exit_code = ExitCode::kOk;
  const std::optional<nlohmann::json> answer =
      CheckListFile(context, options.list, options.file, exit_code);
  if (!answer) {
    return exit_code;
  }
  const bool valid = answer->value("valid", false);
  if (context.output == OutputFormat::kJson) {
    PrintJson(context, *answer);
  } else if (valid) {
    context.streams.out << "valid beside version "
                        << FieldText(*answer, "version") << " of list "
                        << options.list << '\n';
  } else {
    PrintListErrors(context, answer->value("errors", nlohmann::json::array()));
  }
  return valid ? ExitCode::kOk : ExitCode::kUsage;
}

}  // namespace

void AddListsCheckCommand(CLI::App& lists, Command& chosen) {
  CLI::App* command = lists.add_subcommand(
      "check", "Check a file; prints every error with its path");
  const auto options = std::make_shared<CheckOptions>();
  AddListName(*command, options->list);
  command->add_option("FILE", options->file, "The list, - for standard input")
      ->required();
  command->callback([&chosen, options] {
    chosen = [options](Context& context) { return Check(context, *options); };
  });
}

}  // namespace azurespur::cli
