#include "cli/run.h"

#include <CLI/CLI.hpp>
#include <algorithm>
#include <ostream>
#include <utility>
#include <vector>

#include "api_client.h"
#include "commands.h"
#include "context.h"
#include "server_address.h"

namespace azurespur::cli {

namespace {

constexpr int kDefaultTimeoutMs = 5000;
constexpr int kMaxTimeoutMs = 3600000;

constexpr const char* kExitCodes =
    "Exit codes: 0 done; 1 refused or failed; 2 wrong flags or input; "
    "3 no server reached; 4 sent, fate unknown; 5 another edit was first.";

struct GlobalOptions {
  std::vector<std::string> servers;
  int timeout_ms = kDefaultTimeoutMs;
  OutputFormat output = OutputFormat::kTable;
};

void AddGlobalOptions(CLI::App& app, GlobalOptions& options) {
  app.add_option("--server", options.servers,
                 "Server as IP:PORT; repeat for more, the next is tried when "
                 "one is down")
      ->envname("AZURESPUR_SERVER")
      ->delimiter(',')
      ->check(CLI::Validator(&CheckServerAddress, "IP:PORT"));
  app.add_option("--timeout-ms", options.timeout_ms,
                 "Longest wait for one answer")
      ->envname("AZURESPUR_TIMEOUT_MS")
      ->check(CLI::Range(1, kMaxTimeoutMs))
      ->capture_default_str();
  app.add_option("--output", options.output, "Form of the results")
      ->envname("AZURESPUR_OUTPUT")
      ->transform(
          CLI::Transformer(std::vector<std::pair<std::string, OutputFormat>>{
              {"table", OutputFormat::kTable}, {"json", OutputFormat::kJson}}))
      ->default_str("table");
}

void AddCommands(CLI::App& app, Command& chosen) {
  AddSubmitCommand(app, chosen);
  AddFateCommand(app, chosen);
  AddCancelCommand(app, chosen);
  AddRequestCommand(app, chosen);
  AddListsCommands(app, chosen);
  AddProposalsCommand(app, chosen);
  AddApproveCommand(app, chosen);
  AddStatusCommand(app, chosen);
  AddAccountsCommand(app, chosen);
  AddDumpCommand(app, chosen);
  AddLoadCommand(app, chosen);
  AddCompletionCommand(app, chosen);
}

ExitCode RunChosen(const Command& chosen,
                   const GlobalOptions& options,
                   bool needs_server,
                   const Streams& streams) {
  Context context{streams, options.output, nullptr};
  if (needs_server && options.servers.empty()) {
    PrintError(context,
               "flag --server is missing; give it or AZURESPUR_SERVER");
    return ExitCode::kUsage;
  }
  context.api = std::make_unique<ApiClient>(options.servers,
                                            base::Millis(options.timeout_ms));
  return chosen(context);
}

}  // namespace

int Run(std::span<const std::string> args, const Streams& streams) {
  CLI::App app("azurespur: submit work, edit the lists, watch the cell");
  app.name("azurespur");
  app.footer(kExitCodes);
  app.require_subcommand(1);
  app.fallthrough();
  GlobalOptions options;
  Command chosen;
  AddGlobalOptions(app, options);
  AddCommands(app, chosen);
  // CLI11 takes the arguments in reverse order.
  std::vector<std::string> reversed(args.rbegin(), args.rend());
  try {
    app.parse(std::move(reversed));
  } catch (const CLI::Success& e) {
    return app.exit(e, streams.out, streams.err);
  } catch (const CLI::ParseError& e) {
    streams.err << "azurespur: " << e.what() << '\n';
    return static_cast<int>(ExitCode::kUsage);
  }
  const bool needs_server = !app.got_subcommand("completion");
  return static_cast<int>(RunChosen(chosen, options, needs_server, streams));
}

}  // namespace azurespur::cli
