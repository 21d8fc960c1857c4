// `azurespur proposals`: disruptive actions that wait for approval.

#include <CLI/CLI.hpp>
#include <nlohmann/json.hpp>
#include <ostream>
#include <vector>

#include "answers.h"
#include "commands.h"
#include "table.h"

namespace azurespur::cli {

namespace {

using nlohmann::json;

ExitCode Proposals(Context& context) {
  ExitCode exit_code = ExitCode::kOk;
  json answer;
  if (!Fetch(context, "/v1/proposals", answer, exit_code)) {
    return exit_code;
  }
  if (context.output == OutputFormat::kJson) {
    PrintJson(context, answer);
    return ExitCode::kOk;
  }
  std::vector<TableRow> rows;
  for (const json& row : answer.value("proposals", json::array())) {
    rows.push_back({FieldText(row, "id"), FieldText(row, "plan"),
                    FieldText(row, "action"), FieldText(row, "subject"),
                    row.value("approved", false) ? "yes" : "no",
                    TimeText(row.value("expires_ms", int64_t{0})),
                    FieldText(row, "reason")});
  }
  PrintTable(
      context.streams.out,
      {"ID", "PLAN", "ACTION", "SUBJECT", "APPROVED", "EXPIRES", "REASON"},
      rows);
  return ExitCode::kOk;
}

}  // namespace

void AddProposalsCommand(CLI::App& app, Command& chosen) {
  CLI::App* command = app.add_subcommand(
      "proposals", "Show the actions that wait for approval");
  command->callback([&chosen] { chosen = &Proposals; });
}

}  // namespace azurespur::cli
