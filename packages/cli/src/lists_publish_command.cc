// `azurespur lists publish`: makes a file the next version of a list.

#include <CLI/CLI.hpp>
#include <memory>
#include <optional>
#include <string>

#include "base/clock.h"
#include "commands.h"
#include "list_arguments.h"
#include "list_confirmation.h"
#include "list_file.h"
#include "list_publisher.h"

namespace azurespur::cli {

namespace {

struct PublishOptions {
  std::string list;
  std::string file;
  std::string author;
  std::optional<uint64_t> base_version;
  int64_t confirm_ms = 0;
};

ExitCode Publish(Context& context, const PublishOptions& options) {
  const base::Outcome<ListFile> read =
      ReadListFile(context.streams, options.file);
  if (!base::Ok(read)) {
    PrintError(context, base::GetError(read).message);
    return ExitCode::kUsage;
  }
  const ListFile& file = base::Value(read);
  const std::optional<uint64_t> base_version =
      options.base_version ? options.base_version : file.base_version;
  if (!base_version) {
    PrintError(context, "flag --base is missing: the version that file \"" +
                            options.file + "\" was made from");
    return ExitCode::kUsage;
  }
  ListEditSpec edit;
  edit.list = options.list;
  edit.base_version = *base_version;
  edit.author = options.author;
  edit.content = file.content;
  const PublishReport report = PublishEdit(context, edit);
  PrintPublishReport(context, edit, report);
  if (report.exit_code == ExitCode::kOk && options.confirm_ms > 0) {
    return ConfirmLists(context, base::Millis(options.confirm_ms));
  }
  return report.exit_code;
}

}  // namespace

void AddListsPublishCommand(CLI::App& lists, Command& chosen) {
  CLI::App* command = lists.add_subcommand(
      "publish",
      "Publish a file as the version after the one it was made from");
  const auto options = std::make_shared<PublishOptions>();
  AddListName(*command, options->list);
  command
      ->add_option("FILE", options->file,
                   "The list, or what `lists show --output json` printed; - "
                   "for standard input")
      ->required();
  command->add_option("--base", options->base_version,
                      "Version that FILE was made from, if FILE names none");
  AddAuthor(*command, options->author);
  command
      ->add_option("--confirm-ms", options->confirm_ms,
                   "Then wait this long until all VMs run it")
      ->check(CLI::NonNegativeNumber);
  command->callback([&chosen, options] {
    chosen = [options](Context& context) { return Publish(context, *options); };
  });
}

}  // namespace azurespur::cli
