// `azurespur dump`: the whole state of every server.

#include <CLI/CLI.hpp>
#include <nlohmann/json.hpp>

#include "answers.h"
#include "commands.h"
#include "server_dumps.h"

namespace azurespur::cli {

namespace {

ExitCode Dump(Context& context) {
  const std::vector<ServerDump> dumps = FetchDumps(*context.api);
  nlohmann::json all = nlohmann::json::object();
  bool complete = true;
  for (const ServerDump& dump : dumps) {
    all[dump.server] =
        dump.error.empty() ? dump.state : nlohmann::json{{"error", dump.error}};
    complete = complete && dump.error.empty();
  }
  PrintJson(context, all);
  return complete ? ExitCode::kOk : ExitCode::kUnreachable;
}

}  // namespace

void AddDumpCommand(CLI::App& app, Command& chosen) {
  CLI::App* command = app.add_subcommand(
      "dump", "Print the state of every server as one JSON object");
  command->callback([&chosen] { chosen = &Dump; });
}

}  // namespace azurespur::cli
