// The commands. Each function adds one to `app` and sets `chosen` when it is
// called for.

#ifndef CLI_COMMANDS_H_
#define CLI_COMMANDS_H_

#include <CLI/CLI.hpp>

#include "context.h"

namespace azurespur::cli {

void AddSubmitCommand(CLI::App& app, Command& chosen);
void AddFateCommand(CLI::App& app, Command& chosen);
void AddCancelCommand(CLI::App& app, Command& chosen);
void AddRequestCommand(CLI::App& app, Command& chosen);
void AddListsCommands(CLI::App& app, Command& chosen);
void AddProposalsCommand(CLI::App& app, Command& chosen);
void AddApproveCommand(CLI::App& app, Command& chosen);
void AddStatusCommand(CLI::App& app, Command& chosen);
void AddAccountsCommand(CLI::App& app, Command& chosen);
void AddDumpCommand(CLI::App& app, Command& chosen);
void AddLoadCommand(CLI::App& app, Command& chosen);
void AddCompletionCommand(CLI::App& app, Command& chosen);

// The commands of `lists`.
void AddListsCheckCommand(CLI::App& lists, Command& chosen);
void AddListsDiffCommand(CLI::App& lists, Command& chosen);
void AddListsPublishCommand(CLI::App& lists, Command& chosen);
void AddListsShowCommand(CLI::App& lists, Command& chosen);
void AddListsConfirmCommand(CLI::App& lists, Command& chosen);

}  // namespace azurespur::cli

#endif  // CLI_COMMANDS_H_
