// Input files and ids.

#ifndef CLI_INPUT_H_
#define CLI_INPUT_H_

#include <string>
#include <string_view>

#include "base/outcome.h"
#include "cli/run.h"

namespace azurespur::cli {

// The whole of the file, or of standard input for "-". Errors: kNotFound.
base::Outcome<std::string> ReadInput(const Streams& streams,
                                     const std::string& file);

// A new id that no other run uses: `prefix`, "-" and 16 hexadecimal digits.
std::string NewId(std::string_view prefix);

}  // namespace azurespur::cli

#endif  // CLI_INPUT_H_
