// Exit codes of the command line. docs/OPERATING.md lists them.

#ifndef CLI_EXIT_CODE_H_
#define CLI_EXIT_CODE_H_

namespace azurespur::cli {

enum class ExitCode {
  kOk = 0,
  kFailed = 1,       // Refused, failed, or not all VMs agree.
  kUsage = 2,        // Wrong flags or wrong input.
  kUnreachable = 3,  // No server answered; nothing was done.
  kUnknownFate = 4,  // May have been done.
  kConflict = 5,     // Another edit was first.
};

}  // namespace azurespur::cli

#endif  // CLI_EXIT_CODE_H_
