#include "list_arguments.h"

namespace azurespur::cli {

void AddListName(CLI::App& command, std::string& list) {
  command.add_option("NAME", list, "plans or allowances")
      ->required()
      ->check(CLI::IsMember({"plans", "allowances"}));
}

void AddAuthor(CLI::App& command, std::string& author) {
  command.add_option("--author", author, "Who makes the edit")
      ->envname("AZURESPUR_AUTHOR")
      ->required();
}

}  // namespace azurespur::cli
