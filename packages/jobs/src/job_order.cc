#include "job_order.h"

#include <algorithm>
#include <tuple>
#include <vector>

namespace azurespur::jobs {

namespace {

// Callers' estimates may be absurd; their sums must fit into an int64_t.
constexpr double kMaxObjectiveMs = 1e15;

// Returns for each step the longest chain of expected times from its start to
// the job's end. Steps depend only on steps with a lower index.
std::vector<int64_t> ChainsToEnd(const JobSpec& spec, const RunTimes* times) {
  std::vector<int64_t> chains(spec.steps.size(), 0);
  for (size_t s = spec.steps.size(); s-- > 0;) {
    const int64_t declared_ms = spec.steps[s].estimate_ms;
    chains[s] += times == nullptr
                     ? declared_ms
                     : times->ExpectedMs({spec.id, static_cast<int32_t>(s)},
                                         spec.queue, declared_ms);
    for (int32_t earlier : spec.steps[s].after) {
      auto& chain = chains[static_cast<size_t>(earlier)];
      chain = std::max(chain, chains[s]);
    }
  }
  return chains;
}

}  // namespace

int64_t LongestChainMs(const JobSpec& spec, const RunTimes* times) {
  const std::vector<int64_t> chains = ChainsToEnd(spec, times);
  return chains.empty() ? 0 : *std::max_element(chains.begin(), chains.end());
}

int64_t ObjectiveMs(int64_t longest_chain_ms, const QueueTerms& terms) {
  return static_cast<int64_t>(
             std::min(terms.stretch * static_cast<double>(longest_chain_ms),
                      kMaxObjectiveMs)) +
         terms.target_ms;
}

int64_t SlackMs(const Job& job,
                const QueueTerms& terms,
                size_t step,
                int64_t unix_ms,
                const RunTimes* times) {
  const std::vector<int64_t> chains = ChainsToEnd(job.spec, times);
  const int64_t longest = *std::max_element(chains.begin(), chains.end());
  return job.spec.submitted_unix_ms + ObjectiveMs(longest, terms) - unix_ms -
         chains[step];
}

bool StartsBefore(const ReadyStep& a, const ReadyStep& b) {
  const auto key = [](const ReadyStep& step) {
    return std::tuple(step.terms->priority != 0, step.slack_ms < 0,
                      step.slack_ms);
  };
  return key(a) < key(b);
}

bool StartsBeforeByTurn(const ReadyStep& a, const ReadyStep& b) {
  const auto key = [](const ReadyStep& step) {
    if (step.turn == Turn::kPastUse) {
      return std::tuple(step.turn, false, false,
                        step.job->spec.submitted_unix_ms);
    }
    const bool late = step.slack_ms < 0;
    return std::tuple(step.turn, step.terms->priority != 0, late,
                      late ? step.useful_until_unix_ms : step.slack_ms);
  };
  return key(a) < key(b);
}

}  // namespace azurespur::jobs
