// Measures plans of a full cell with a backlog: processor time of a plan, by
// workers and by steps that wait.

#include <chrono>
#include <cstdint>
#include <iostream>
#include <string>
#include <vector>

#include "base/event_log.h"
#include "scheduler_fixture.h"

namespace azurespur::jobs {
namespace {

constexpr int64_t kWorkerCpu = 64000;
constexpr int kTasksPerWorker = 8;
constexpr JobId kFirstWaitingJob = 100;

// Answers all advice queries: every other worker is good.
void AnswerAdvice(SchedulerFixture& f) {
  for (const AdviceQuery& query : f.sent_queries) {
    std::vector<AdviceTicket> tickets;
    for (size_t i = 0; i < query.workers.size(); i += 2) {
      tickets.push_back({query.workers[i], "ticket"});
    }
    f.scheduler.OnAdvice(query.id, tickets, f.now);
  }
  f.sent_queries.clear();
}

void Measure(int workers, int backlog) {
  SchedulerFixture f;
  f.AddQueue("batch", 2);
  for (const char* name : {"gangs", "singles"}) {
    f.AddQueue(name, 1).advice = AdvicePolicy{80, 1, 1000000};
  }
  f.vms = {"a", "b", "c", "d", "e", "f", "g", "h"};
  f.AddWorkers(workers, kWorkerCpu);
  f.Submit(1, "batch", workers * kTasksPerWorker, kWorkerCpu / kTasksPerWorker);
  f.Run(base::Millis{500});
  for (JobId i = 0; i < static_cast<JobId>(backlog); ++i) {
    const bool gang = i % 2 == 0;
    f.Submit(kFirstWaitingJob + i, gang ? "gangs" : "singles", 20,
             kWorkerCpu / 10, gang);
  }
  for (int i = 0; i < 200; ++i) {
    f.Step();
    AnswerAdvice(f);
  }
  constexpr int kPlans = 20;
  const auto from = std::chrono::steady_clock::now();
  for (int i = 0; i < kPlans; ++i) {
    f.now += f.options.full_plan_interval;
    f.scheduler.Tick(f.now, f.UnixMs(), f.now, f.out);
    f.out = {};
  }
  const std::chrono::duration<double, std::milli> spent =
      std::chrono::steady_clock::now() - from;
  std::cout << workers << " workers, " << backlog
            << " waiting steps: " << spent.count() / kPlans << " ms a plan\n";
}

}  // namespace
}  // namespace azurespur::jobs

int main() {
  for (int workers : {48, 350}) {
    for (int backlog : {10, 50, 200}) {
      azurespur::jobs::Measure(workers, backlog);
    }
  }
  return 0;
}
