// Arguments that the list commands share.

#ifndef CLI_LIST_ARGUMENTS_H_
#define CLI_LIST_ARGUMENTS_H_

#include <CLI/CLI.hpp>
#include <string>

namespace azurespur::cli {

// Adds the required argument NAME: "plans" or "allowances".
void AddListName(CLI::App& command, std::string& list);

// Adds the flag --author, by default AZURESPUR_AUTHOR.
void AddAuthor(CLI::App& command, std::string& author);

}  // namespace azurespur::cli

#endif  // CLI_LIST_ARGUMENTS_H_
