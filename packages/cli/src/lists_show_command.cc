// `azurespur lists show`: a version of a list.

#include <CLI/CLI.hpp>
#include <memory>
#include <ostream>
#include <set>
#include <string>
#include <vector>

#include "answers.h"
#include "commands.h"
#include "list_arguments.h"
#include "table.h"

namespace azurespur::cli {

namespace {

using nlohmann::json;

struct ShowOptions {
  std::string list;
  uint64_t version = 0;
};

// "id" first, then the others by name.
TableRow Columns(const json& rows) {
  std::set<std::string> names;
  for (const json& row : rows) {
    for (const auto& [name, value] : row.items()) {
      names.insert(name);
    }
  }
  names.erase("id");
  TableRow columns = {"id"};
  columns.insert(columns.end(), names.begin(), names.end());
  return columns;
}

void PrintList(Context& context, const std::string& list, const json& answer) {
  std::ostream& out = context.streams.out;
  out << "list " << list << " version " << FieldText(answer, "version")
      << " by " << FieldText(answer, "author") << " at "
      << TimeText(answer.value("wall_ms", int64_t{0})) << " digest "
      << FieldText(answer, "digest") << '\n';
  const json content = answer.value("content", json::object());
  const json rows = content.value(list, json::array());
  if (rows.empty()) {
    return;
  }
  const TableRow columns = Columns(rows);
  std::vector<TableRow> cells;
  for (const json& row : rows) {
    TableRow line;
    for (const std::string& column : columns) {
      line.push_back(FieldText(row, column));
    }
    cells.push_back(std::move(line));
  }
  PrintTable(out, columns, cells);
}

ExitCode Show(Context& context, const ShowOptions& options) {
  std::string path = "/v1/lists/" + options.list;
  if (options.version > 0) {
    path += "?version=" + std::to_string(options.version);
  }
  ExitCode exit_code = ExitCode::kOk;
  json answer;
  if (!Fetch(context, path, answer, exit_code)) {
    return exit_code;
  }
  if (context.output == OutputFormat::kJson) {
    PrintJson(context, answer);
  } else {
    PrintList(context, options.list, answer);
  }
  if (!answer.value("complete", true)) {
    PrintError(context,
               "the server has not read the lists whole; a newer version may "
               "be in force");
    return ExitCode::kFailed;
  }
  return ExitCode::kOk;
}

}  // namespace

void AddListsShowCommand(CLI::App& lists, Command& chosen) {
  CLI::App* command = lists.add_subcommand(
      "show", "Show a list; --output json gives a file to edit and publish");
  const auto options = std::make_shared<ShowOptions>();
  AddListName(*command, options->list);
  command->add_option("--version", options->version,
                      "Version to show instead of the one in force");
  command->callback([&chosen, options] {
    chosen = [options](Context& context) { return Show(context, *options); };
  });
}

}  // namespace azurespur::cli
