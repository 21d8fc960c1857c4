// Checks journals of one run against the rules: check_history FILE...

#include <CLI/CLI.hpp>
#include <fstream>
#include <iostream>
#include <string>
#include <vector>

#include "history/history_reader.h"
#include "history/rules.h"

using namespace azurespur;

namespace {

constexpr int kExitViolations = 1;
constexpr int kExitUsage = 2;

void PrintCounts(const history::History& history) {
  std::cout << "worker events: " << history.worker_events.size()
            << ", executor events: " << history.executor_events.size()
            << ", submissions: " << history.task_answers.size()
            << ", fates: " << history.task_outcomes.size()
            << ", requests: " << history.request_answers.size()
            << ", list samples: " << history.list_samples.size() << '\n';
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app("Checks journals against the rules that always hold");
  std::vector<std::string> files;
  history::RuleOptions options;
  bool unfinished = false;
  app.add_option("FILE", files, "Journals of workers, executors and callers")
      ->required();
  app.add_option("--leaving-limit-ms", options.leaving_limit_ms,
                 "Time until a leaving VM gets no new work");
  app.add_flag("--unfinished", unfinished, "Accepted tasks may still run");
  CLI11_PARSE(app, argc, argv);
  options.expect_all_ended = !unfinished;

  history::History history;
  for (const std::string& file : files) {
    std::ifstream in(file);
    if (!in.is_open()) {
      std::cerr << "\"" << file << "\" can't be read\n";
      return kExitUsage;
    }
    const auto read = history::ReadJournal(file, in, history);
    if (!base::Ok(read)) {
      std::cerr << base::GetError(read).message << '\n';
      return kExitUsage;
    }
  }
  history::SortByTime(history);
  PrintCounts(history);
  const auto violations = history::CheckAll(history, options);
  for (const history::Violation& violation : violations) {
    std::cout << violation.rule << ": " << violation.text << '\n';
  }
  std::cout << violations.size() << " violations\n";
  return violations.empty() ? 0 : kExitViolations;
}
