// `azurespur lists confirm`: which VMs run which versions.

#include <CLI/CLI.hpp>
#include <memory>

#include "base/clock.h"
#include "commands.h"
#include "list_confirmation.h"

namespace azurespur::cli {

void AddListsConfirmCommand(CLI::App& lists, Command& chosen) {
  CLI::App* command = lists.add_subcommand(
      "confirm", "Show which lists every entry VM runs; 0 if all agree");
  const auto wait_ms = std::make_shared<int64_t>(0);
  command->add_option("--wait-ms", *wait_ms, "Longest wait until all VMs agree")
      ->check(CLI::NonNegativeNumber)
      ->capture_default_str();
  command->callback([&chosen, wait_ms] {
    chosen = [wait_ms](Context& context) {
      return ConfirmLists(context, base::Millis(*wait_ms));
    };
  });
}

}  // namespace azurespur::cli
