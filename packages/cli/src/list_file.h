// A list's content in a file.

#ifndef CLI_LIST_FILE_H_
#define CLI_LIST_FILE_H_

#include <cstdint>
#include <optional>
#include <string>

#include "base/outcome.h"
#include "cli/run.h"

namespace azurespur::cli {

// Either the bare content, or what `lists show --output json` prints, which
// also names the version that the content was made from.
struct ListFile {
  std::string content;
  std::optional<uint64_t> base_version;
};

// Errors: kNotFound. Wrong content is left to the daemon's check.
base::Outcome<ListFile> ReadListFile(const Streams& streams,
                                     const std::string& file);

}  // namespace azurespur::cli

#endif  // CLI_LIST_FILE_H_
