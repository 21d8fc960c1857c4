// `azurespur lists`: the two lists of the operators.

#include <CLI/CLI.hpp>

#include "commands.h"

namespace azurespur::cli {

void AddListsCommands(CLI::App& app, Command& chosen) {
  CLI::App* lists = app.add_subcommand(
      "lists", "Check, compare, publish, show and confirm the two lists");
  lists->require_subcommand(1);
  lists->fallthrough();
  AddListsCheckCommand(*lists, chosen);
  AddListsDiffCommand(*lists, chosen);
  AddListsPublishCommand(*lists, chosen);
  AddListsShowCommand(*lists, chosen);
  AddListsConfirmCommand(*lists, chosen);
}

}  // namespace azurespur::cli
