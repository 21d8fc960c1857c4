// Runs one scenario against real daemons: scenario FILE.lua [--seed N].

#include <CLI/CLI.hpp>
#include <csignal>
#include <filesystem>
#include <iostream>
#include <string>

#include "scenario/runner.h"

using namespace azurespur;

namespace {

constexpr int kExitUsage = 2;

}  // namespace

int main(int argc, char** argv) {
  std::signal(SIGPIPE, SIG_IGN);
  CLI::App app("Runs one scenario file against real daemons");
  scenario::RunnerOptions options;
  bool keep = false;
  options.programs =
      std::filesystem::canonical("/proc/self/exe").parent_path().string();
  app.add_option("FILE", options.file, "Scenario in Lua")
      ->required()
      ->check(CLI::ExistingFile);
  app.add_option("--seed", options.seed, "Seed of all random choices");
  app.add_option("--folder", options.folder,
                 "New folder for journals and logs");
  app.add_flag("--keep", keep, "Keep the folder after a success");
  CLI11_PARSE(app, argc, argv);

  if (options.folder.empty()) {
    std::string name =
        (std::filesystem::temp_directory_path() / "scenario-XXXXXX").string();
    if (mkdtemp(name.data()) == nullptr) {
      std::cerr << "folder \"" << name << "\" can't be made\n";
      return kExitUsage;
    }
    options.folder = name;
  } else {
    std::filesystem::create_directories(options.folder);
  }
  const bool passed = scenario::RunScenario(options);
  if (passed && !keep) {
    std::filesystem::remove_all(options.folder);
  } else {
    std::cout << "  journals and logs: " << options.folder << std::endl;
  }
  return passed ? 0 : 1;
}
