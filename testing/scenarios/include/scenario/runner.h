// Runs one scenario file: Lua 5.4 with the verbs of docs/SCENARIOS.md.

#ifndef SCENARIO_RUNNER_H_
#define SCENARIO_RUNNER_H_

#include <cstdint>
#include <string>

namespace azurespur::scenario {

struct RunnerOptions {
  std::string file;
  std::string programs;  // Folder of the built programs.
  std::string folder;    // For journals and logs; must exist.
  uint64_t seed = 1;
};

// Prints each expectation and the result. True if all held, every entry that
// ran at the end stopped with exit code 0 and the history breaks no rule.
bool RunScenario(const RunnerOptions& options);

}  // namespace azurespur::scenario

#endif  // SCENARIO_RUNNER_H_
