// What every command gets.

#ifndef CLI_CONTEXT_H_
#define CLI_CONTEXT_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "cli/exit_code.h"
#include "cli/run.h"

namespace azurespur::cli {

class ApiClient;

enum class OutputFormat { kTable, kJson };

struct Context {
  const Streams& streams;
  OutputFormat output = OutputFormat::kTable;
  std::unique_ptr<ApiClient> api;  // Set for commands that need a server.
};

// The chosen command; runs after all flags were parsed and checked.
using Command = std::function<ExitCode(Context&)>;

// Writes `azurespur: TEXT` to the error stream.
void PrintError(Context& context, const std::string& text);

}  // namespace azurespur::cli

#endif  // CLI_CONTEXT_H_
