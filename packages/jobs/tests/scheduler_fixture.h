// Runs a scheduler with in-memory workers and an in-memory log. Orders are
// answered at once; a started task runs until the test ends it.

#ifndef JOBS_TESTS_SCHEDULER_FIXTURE_H_
#define JOBS_TESTS_SCHEDULER_FIXTURE_H_

#include <algorithm>
#include <cstdint>
#include <map>
#include <set>
#include <span>
#include <string>
#include <utility>
#include <vector>

#include "jobs/scheduler.h"

namespace azurespur::jobs {

struct FakeRun {
  int32_t run = 0;
  int32_t percent = 0;
};

struct SchedulerFixture {
  explicit SchedulerFixture(SchedulerOptions with = {})
      : options(with), scheduler(options, table) {
    options.fence = 7;
  }

  // Adds a queue whose tasks need no advice.
  QueuePolicy& AddQueue(const std::string& name, int32_t priority) {
    QueuePolicy queue;
    queue.name = name;
    queue.service = "s";
    queue.priority = priority;
    queue.max_attempts = 3;
    queue.stretch = 2;
    queue.target_ms = 1000;
    policy.queues[name] = queue;
    return policy.queues[name];
  }

  ClientAccount& AddAccount(const std::string& name,
                            double weight,
                            int64_t cap_cpu = 0) {
    policy.accounts[name] = {name, weight, 0, {cap_cpu, 0, 0}};
    return policy.accounts[name];
  }

  void AddWorkers(int count, int64_t cpu) {
    for (int i = 0; i < count; ++i) {
      WorkerEntry entry;
      entry.boot = {"w" + std::to_string(entries.size()), 1};
      entry.service = "s";
      entry.address = "addr-" + entry.boot.id;
      entry.rack = "r" + std::to_string(entries.size() / 8);
      entry.capacity = {cpu, 1000000, 0};
      entries.push_back(entry);
    }
  }

  JobSpec& Submit(JobId id,
                  const std::string& queue,
                  int32_t count,
                  int64_t cpu,
                  bool gang = false,
                  int64_t estimate_ms = 1000) {
    JobSpec& spec = specs[id];
    spec.id = id;
    spec.queue = queue;
    spec.submitted_unix_ms = UnixMs();
    spec.account = account;
    spec.account_rate = account_rate;
    StepSpec step;
    step.count = count;
    step.demand = {cpu, 1, 0};
    step.gang = gang;
    step.estimate_ms = estimate_ms;
    step.checkpointing = checkpointing_queues.count(queue) > 0;
    spec.steps = {step};
    table.Submit(Submission{spec, policy.queues[queue]}, now);
    return spec;
  }

  // Makes the tasks of a submitted job save their progress.
  void SetCheckpointing(JobId id) {
    JobSpec& spec = specs[id];
    spec.steps[0].checkpointing = true;
    table = JobTable();
    table.Submit(Submission{spec, policy.queues[spec.queue]}, now);
  }

  int64_t UnixMs() const { return base::MillisBetween(base::MonoTime{}, now); }

  // Plans once and executes the output until there is no more.
  void Step(base::Millis by = base::Millis{20}) {
    now += by;
    scheduler.SetPolicy(policy);
    if (now >= next_directory) {
      next_directory = now + directory_interval;
      scheduler.SetWorkers(entries, now);
    }
    scheduler.SetAdviceVms(vms);
    scheduler.Tick(now, UnixMs(), now, out);
    while (ExecuteOutput()) {
    }
  }

  void Run(base::Millis time) {
    const base::MonoTime end = now + time;
    while (now < end) {
      Step();
    }
  }

  // Makes the worker report an end of the task's run.
  void End(const TaskRef& task, EndCause cause) {
    for (auto& [worker, runs] : running) {
      const auto found = runs.find(task);
      if (found != runs.end()) {
        EndedTask ended;
        ended.number = ++end_numbers[worker];
        ended.task = task;
        ended.run = found->second.run;
        ended.cause = cause;
        ends[worker].push_back(ended);
        ended_runs.insert({task, ended.run});
        runs.erase(found);
        return;
      }
    }
  }

  bool IsRunning(const TaskRef& task) const { return !WorkerOf(task).empty(); }

  std::string WorkerOf(const TaskRef& task) const {
    for (const auto& [worker, runs] : running) {
      if (runs.count(task) > 0) {
        return worker;
      }
    }
    return {};
  }

  int64_t CountRunning(JobId job) const {
    int64_t count = 0;
    for (const auto& [worker, runs] : running) {
      count += std::count_if(runs.begin(), runs.end(), [job](const auto& run) {
        return run.first.job == job;
      });
    }
    return count;
  }

  SchedulerOptions options;
  JobTable table;
  CellPolicy policy;
  Scheduler scheduler;
  SchedulerOutput out;
  base::MonoTime now{base::Millis{1000000}};
  std::vector<WorkerEntry> entries;
  base::Millis directory_interval{0};  // Between reads of the entries.
  base::MonoTime next_directory{};
  std::vector<std::string> vms = {"a"};
  std::map<JobId, JobSpec> specs;
  std::string account;      // Of the jobs that are submitted next.
  double account_rate = 0;  // The same.
  // The tasks of jobs that are submitted to these save their progress.
  std::set<std::string> checkpointing_queues;
  std::map<std::string, std::map<TaskRef, FakeRun>> running;  // By worker.
  std::map<std::string, std::vector<EndedTask>> ends;
  std::map<std::string, int64_t> end_numbers;
  // Of workers that have restarted; others have the boot that orders name.
  std::map<std::string, int64_t> boots;
  std::map<std::string, OrderOutcome> start_outcomes;  // Default: accepted.
  std::map<std::string, bool> silent;      // Workers that answer no orders.
  std::map<std::string, bool> only_holds;  // Workers that answer only holds.
  // Addresses at which another boot answers than those that orders name.
  std::set<std::string> other_boots;
  std::map<std::string, bool> stalled;  // Workers whose tasks make no progress.
  // The run of an unanswered start is executed and ends as done at once.
  bool run_unanswered = false;
  std::set<std::pair<TaskRef, int32_t>> ended_runs;
  size_t max_listed_ends = SIZE_MAX;  // In one report.
  bool log_down = false;              // Records are stored once it is back.
  int unanswered_starts = 0;  // Number of next starts without an answer.
  std::vector<AdviceQuery> sent_queries;
  std::vector<StartOrder> started;
  std::vector<StopOrder> stopped;
  std::vector<HoldOrder> sent_holds;

  std::vector<PendingRecord> unstored;

 private:
  void Store(std::span<const PendingRecord> records) {
    for (const PendingRecord& pending : records) {
      table.Apply(pending.record, now);
    }
    for (const PendingRecord& pending : records) {
      scheduler.OnStored(pending, now, now, out);
    }
  }

  bool ExecuteOutput() {
    SchedulerOutput wanted = std::exchange(out, {});
    unstored.insert(unstored.end(), wanted.records.begin(),
                    wanted.records.end());
    if (!log_down) {
      Store(std::exchange(unstored, {}));
    }
    for (const StartOrder& order : wanted.starts) {
      Start(order);
    }
    for (const StopOrder& order : wanted.stops) {
      Stop(order);
    }
    for (const HoldOrder& order : wanted.holds) {
      Hold(order);
    }
    sent_queries.insert(sent_queries.end(), wanted.queries.begin(),
                        wanted.queries.end());
    return !out.records.empty() || !out.starts.empty() || !out.stops.empty();
  }

  void Start(const StartOrder& order) {
    started.push_back(order);
    OrderOutcome outcome = OrderOutcome::kAccepted;
    const auto other = start_outcomes.find(order.worker.id);
    if (other != start_outcomes.end()) {
      outcome = other->second;
    }
    if (other_boots.count(order.address) > 0) {
      scheduler.OnStarted(order, {OrderOutcome::kOtherBoot, std::nullopt}, now,
                          out);
      return;
    }
    if (silent[order.worker.id] || only_holds[order.worker.id] ||
        unanswered_starts > 0) {
      outcome = OrderOutcome::kUnknown;
      unanswered_starts = std::max(0, unanswered_starts - 1);
    }
    // A worker does not repeat a run that has ended on it.
    if (outcome == OrderOutcome::kAccepted &&
        ended_runs.count({order.task, order.run}) > 0) {
      outcome = OrderOutcome::kStaleRun;
    }
    if (outcome == OrderOutcome::kUnknown && run_unanswered) {
      running[order.worker.id][order.task] = {order.run, 0};
      End(order.task, EndCause::kDone);
    }
    if (outcome == OrderOutcome::kAccepted) {
      running[order.worker.id][order.task] = {order.run, 0};
    }
    scheduler.OnStarted(order, {outcome, std::nullopt}, now, out);
  }

  void Stop(const StopOrder& order) {
    stopped.push_back(order);
    if (other_boots.count(order.address) > 0) {
      scheduler.OnStopped(order, OrderOutcome::kOtherBoot, now, out);
      return;
    }
    if (silent[order.worker.id] || only_holds[order.worker.id]) {
      scheduler.OnStopped(order, OrderOutcome::kUnknown, now, out);
      return;
    }
    if (running[order.worker.id].count(order.task) > 0) {
      End(order.task, EndCause::kStopped);
    }
    scheduler.OnStopped(order, OrderOutcome::kAccepted, now, out);
  }

  void Hold(const HoldOrder& order) {
    const std::string& id = order.worker.id;
    sent_holds.push_back(order);
    if (other_boots.count(order.address) > 0) {
      scheduler.OnHoldFailed(order, OrderOutcome::kOtherBoot, now, out);
      return;
    }
    if (silent[id]) {
      scheduler.OnHoldFailed(order, OrderOutcome::kUnknown, now, out);
      return;
    }
    WorkerReport report;
    report.clock_ms = UnixMs();
    const auto boot = boots.find(id);
    report.boot_unix_ms =
        boot == boots.end() ? order.worker.boot_unix_ms : boot->second;
    for (auto& [task, run] : running[id]) {
      run.percent += stalled[id] ? 0 : 1;
      report.running.push_back({task, run.run, "", run.percent});
    }
    std::erase_if(ends[id], [&order](const EndedTask& end) {
      return end.number <= order.acked_end_number;
    });
    report.ended = ends[id];
    if (report.ended.size() >= max_listed_ends) {
      report.ended.resize(max_listed_ends);
      report.more_ends = true;
    }
    scheduler.OnReport(order, report, now, out);
  }
};

}  // namespace azurespur::jobs

#endif  // JOBS_TESTS_SCHEDULER_FIXTURE_H_
