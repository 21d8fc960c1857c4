// Size and settings of the cell that a scenario runs.

#ifndef SCENARIO_CELL_OPTIONS_H_
#define SCENARIO_CELL_OPTIONS_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace azurespur::scenario {

struct CellOptions {
  std::string programs;  // Folder of the built programs.
  std::string folder;    // For journals and logs.
  uint64_t seed = 1;

  std::vector<std::string> domains = {"a", "b", "c"};
  int64_t entries = 1;    // In each domain.
  int64_t workers = 4;    // In each domain.
  int64_t executors = 2;  // In each domain.

  // Further flags, without the dashes.
  std::map<std::string, std::string> daemon_flags;
  std::map<std::string, std::string> log_flags;
  std::map<std::string, std::string> vm_list_flags;
  std::map<std::string, std::string> worker_flags;
  std::map<std::string, std::string> executor_flags;
};

}  // namespace azurespur::scenario

#endif  // SCENARIO_CELL_OPTIONS_H_
