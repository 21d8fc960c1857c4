// Everything that the verbs of one scenario work on.

#ifndef SCENARIO_WORLD_H_
#define SCENARIO_WORLD_H_

#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "history/rules.h"
#include "scenario/caller_journal.h"
#include "scenario/callers.h"
#include "scenario/cell.h"
#include "scenario/list_sampler.h"
#include "scenario/load.h"
#include "scenario/runner.h"

namespace azurespur::scenario {

struct World {
  explicit World(const RunnerOptions& runner_options)
      : options(runner_options),
        random(runner_options.seed),
        journal(runner_options.folder + "/callers.jsonl") {}

  const RunnerOptions options;
  std::mt19937_64 random;
  CallerJournal journal;
  std::unique_ptr<Cell> cell;
  std::unique_ptr<Callers> callers;
  std::unique_ptr<ListSampler> sampler;
  std::vector<std::unique_ptr<Load>> loads;
  history::RuleOptions rules;
  base::Millis end_limit{60'000};  // For accepted tasks, at the end.
  int expectations = 0;
};

}  // namespace azurespur::scenario

#endif  // SCENARIO_WORLD_H_
