#include "requests/baselines.h"

#include <deque>
#include <functional>
#include <random>

namespace azurespur::bench {

namespace {

constexpr base::Millis kTail{20000};  // For the last requests to end.

using SendAtOnce =
    std::function<size_t(const SimRequest& request, const SimExecutors&)>;

SimReport RunAtOnce(const WorkloadOptions& options,
                    const std::vector<SimRequest>& requests,
                    const SendAtOnce& choose,
                    const std::function<void(int vm, size_t executor)>& ended) {
  EventQueue events;
  SimExecutors executors(events, options.executors, options.slots);
  std::vector<SimOutcome> outcomes(requests.size());
  for (size_t i = 0; i < requests.size(); ++i) {
    events.At(requests[i].arrival, [&, i] {
      const size_t executor = choose(requests[i], executors);
      executors.Run(executor, requests[i].run, outcomes[i],
                    [&, i, executor] { ended(requests[i].vm, executor); });
    });
  }
  events.RunUntil(requests.back().arrival + kTail);
  SimReport report = Summarize(options, requests, outcomes);
  report.excess = executors.excess();
  return report;
}

}  // namespace

SimReport RunRandomAtOnce(const WorkloadOptions& options,
                          const std::vector<SimRequest>& requests) {
  std::mt19937_64 random(options.seed);
  return RunAtOnce(
      options, requests,
      [&](const SimRequest&, const SimExecutors& executors) {
        return static_cast<size_t>(random() % executors.count());
      },
      [](int, size_t) {});
}

SimReport RunLeastConnections(const WorkloadOptions& options,
                              const std::vector<SimRequest>& requests) {
  std::mt19937_64 random(options.seed);
  const auto count = static_cast<size_t>(options.executors);
  std::vector<std::vector<int>> open(static_cast<size_t>(options.vms),
                                     std::vector<int>(count));
  return RunAtOnce(
      options, requests,
      [&](const SimRequest& request, const SimExecutors&) {
        std::vector<int>& own = open[static_cast<size_t>(request.vm)];
        size_t best = random() % count;
        const size_t first = best;
        for (size_t step = 1; step < count; ++step) {
          const size_t i = (first + step) % count;
          if (own[i] < own[best]) {
            best = i;
          }
        }
        ++own[best];
        return best;
      },
      [&](int vm, size_t executor) {
        --open[static_cast<size_t>(vm)][executor];
      });
}

SimReport RunFifoRandom(const WorkloadOptions& options,
                        const std::vector<SimRequest>& requests) {
  EventQueue events;
  SimExecutors executors(events, options.executors, options.slots);
  std::vector<SimOutcome> outcomes(requests.size());
  std::mt19937_64 random(options.seed);
  struct Waiting {
    size_t request = 0;
    size_t executor = 0;
  };
  std::deque<Waiting> queue;
  std::function<void()> pump = [&] {
    while (!queue.empty()) {
      const Waiting head = queue.front();
      const SimRequest& request = requests[head.request];
      if (events.now() >= request.deadline) {
        queue.pop_front();
        continue;
      }
      if (executors.InWork(head.executor) >= options.slots) {
        return;
      }
      queue.pop_front();
      executors.Run(head.executor, request.run, outcomes[head.request], pump);
    }
  };
  for (size_t i = 0; i < requests.size(); ++i) {
    events.At(requests[i].arrival, [&, i] {
      queue.push_back({i, random() % executors.count()});
      pump();
    });
  }
  events.RunUntil(requests.back().arrival + kTail);
  SimReport report = Summarize(options, requests, outcomes);
  report.excess = executors.excess();
  return report;
}

}  // namespace azurespur::bench
