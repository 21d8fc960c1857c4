// The program `azurespur`: command line of callers and operators.

#ifndef CLI_RUN_H_
#define CLI_RUN_H_

#include <iosfwd>
#include <span>
#include <string>

namespace azurespur::cli {

// Standard streams of a run.
struct Streams {
  std::istream& in;
  std::ostream& out;  // Results only.
  std::ostream& err;  // Errors and progress.
};

// Runs one command; `args` excludes the program's name. Returns the process's
// exit code, see cli/exit_code.h.
int Run(std::span<const std::string> args, const Streams& streams);

}  // namespace azurespur::cli

#endif  // CLI_RUN_H_
