// Journal of what callers heard, for the history checker: JSON lines.

#ifndef CLI_HISTORY_WRITER_H_
#define CLI_HISTORY_WRITER_H_

#include <fstream>
#include <string>

#include "base/outcome.h"
#include "load_operation.h"

namespace azurespur::cli {

class HistoryWriter {
 public:
  // Does nothing if `file` is empty. Errors: kInvalid if it can't be written.
  base::Outcome<base::Unit> Open(const std::string& file);

  // The answer to an operation, or that there was none.
  void AddAnswer(const LoadOperation& operation);

  // What became of an accepted task.
  void AddTaskFate(const std::string& task_id,
                   const std::string& fate,
                   int64_t wall_ms);

 private:
  std::ofstream m_out;
};

}  // namespace azurespur::cli

#endif  // CLI_HISTORY_WRITER_H_
