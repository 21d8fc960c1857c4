// One process that a scenario started, known by its id.

#ifndef SCENARIO_CHILD_PROCESS_H_
#define SCENARIO_CHILD_PROCESS_H_

#include <sys/types.h>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "base/outcome.h"

namespace azurespur::scenario {

class ChildProcess {
 public:
  ChildProcess() = default;
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;

  // Kills the process if it still runs.
  ~ChildProcess();

  // Starts `command` with standard output and error appended to `log`. Errors:
  // kUnavailable if the program can't be started.
  base::Outcome<base::Unit> Start(const std::vector<std::string>& command,
                                  const std::string& log);

  bool Running();

  // Sends a signal to the process if it still runs.
  void Signal(int signal);

  // Waits for the end. Returns the exit code, 128 + N for a signal N, or
  // nothing if the process still runs after `limit`.
  std::optional<int> Wait(base::Millis limit);

  // Waits until the process wrote a line that contains `text` and returns the
  // newest such line since its start, or nothing at its end or after `limit`.
  std::optional<std::string> WaitForLine(std::string_view text,
                                         base::Millis limit);

 private:
  bool Reap();

  pid_t m_pid = 0;
  std::optional<int> m_exit_code;
  std::string m_log;
  std::streamoff m_log_start = 0;
};

}  // namespace azurespur::scenario

#endif  // SCENARIO_CHILD_PROCESS_H_
