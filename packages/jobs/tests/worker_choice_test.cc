// The worker of each single task, compared with a plain choice that looks at
// every worker for every task.

#include <doctest/doctest.h>

#include <limits>
#include <map>
#include <random>

#include "scheduler_fixture.h"

namespace azurespur::jobs {

using base::Millis;

namespace {

constexpr int kSeeds = 60;
constexpr int kWorkers = 40;
constexpr JobId kJobs = 12;
constexpr Millis kAdviceValid{300};

using Workers = std::map<std::string, Worker, std::less<>>;
// The tickets of each step, by worker, with the time they expire.
using Tickets = std::map<StepRef, std::map<std::string, base::MonoTime>>;

struct PlainCell {
  Workers workers;
  Tickets tickets;
  std::map<TaskRef, std::string> failed_on;
};

int64_t CountOfStep(const Worker& worker, const StepRef& step) {
  int64_t count = 0;
  for (const auto& [task, run] : worker.runs) {
    count += task.StepOf() == step ? 1 : 0;
  }
  return count;
}

bool MayTake(const PlainCell& cell,
             const Worker& worker,
             const TaskRef& task,
             const StepSpec& spec,
             bool advised,
             base::MonoTime now) {
  const auto& labels = worker.entry.labels;
  const bool labelled =
      spec.required_label.empty() ||
      std::count(labels.begin(), labels.end(), spec.required_label) > 0;
  bool eligible = !advised;
  const auto step = cell.tickets.find(task.StepOf());
  if (advised && step != cell.tickets.end()) {
    const auto ticket = step->second.find(worker.entry.boot.id);
    eligible = ticket != step->second.end() && ticket->second > now;
  }
  const bool below_limit =
      spec.max_per_worker == 0 ||
      CountOfStep(worker, task.StepOf()) < spec.max_per_worker;
  return AcceptsTasks(worker, now) && labelled && eligible && below_limit &&
         placement::Fits(spec.demand, FreeCapacity(worker));
}

// Returns an empty id if no worker may take the task.
std::string ChoosePlainly(const PlainCell& cell,
                          const TaskRef& task,
                          const StepSpec& spec,
                          bool advised,
                          base::MonoTime now) {
  std::string best;
  double best_score = std::numeric_limits<double>::max();
  const auto failed = cell.failed_on.find(task);
  for (const auto& [id, worker] : cell.workers) {
    if (!MayTake(cell, worker, task, spec, advised, now)) {
      continue;
    }
    const bool far = !spec.preferred_rack.empty() &&
                     worker.entry.rack != spec.preferred_rack;
    const bool failing =
        worker.failures_in_row > 0 ||
        (failed != cell.failed_on.end() && failed->second == id);
    double score =
        placement::DominantShare(FreeCapacity(worker), worker.entry.capacity);
    score += far ? 2 : 0;
    score += failing ? 1 : 0;
    if (score < best_score) {
      best = id;
      best_score = score;
    }
  }
  return best;
}

void AddRandomWorkers(SchedulerFixture& f, std::mt19937& random) {
  for (int i = 0; i < kWorkers; ++i) {
    f.AddWorkers(1, 4 + static_cast<int64_t>(random() % 12));
    WorkerEntry& entry = f.entries.back();
    entry.rack = "r" + std::to_string(random() % 3);
    entry.labels = {random() % 2 == 0 ? "a" : "b"};
    entry.draining = random() % 10 == 0;
  }
}

void SubmitRandomJobs(SchedulerFixture& f, std::mt19937& random, JobId first) {
  for (JobId id = first; id < first + kJobs; ++id) {
    JobSpec spec;
    spec.id = id;
    spec.queue =
        std::vector<std::string>{"urgent", "batch", "advised"}[random() % 3];
    spec.submitted_unix_ms = f.UnixMs();
    StepSpec step;
    step.count = 1 + static_cast<int32_t>(random() % 20);
    step.demand = {1 + static_cast<int64_t>(random() % 6), 1, 0};
    step.estimate_ms = 100 + static_cast<int64_t>(random() % 3000);
    step.max_per_worker = static_cast<int32_t>(random() % 3);
    step.required_label = random() % 3 == 0 ? "a" : "";
    step.preferred_rack = random() % 2 == 0 ? "r1" : "";
    spec.steps = {step};
    f.specs[id] = spec;
    f.table.Submit(spec, f.now);
  }
}

void AnswerQueries(SchedulerFixture& f, PlainCell& cell, std::mt19937& random) {
  for (const AdviceQuery& query : f.sent_queries) {
    std::vector<AdviceTicket> tickets;
    for (const std::string& worker : query.workers) {
      if (random() % 2 == 0) {
        tickets.push_back({worker, "t"});
        // The scheduler takes a ticket as expired a little earlier.
        cell.tickets[query.step][worker] = f.now + kAdviceValid - Millis{60};
      }
    }
    f.scheduler.OnAdvice(query.id, tickets, f.now);
  }
  f.sent_queries.clear();
}

void EndSomeTasks(SchedulerFixture& f, PlainCell& cell, std::mt19937& random) {
  std::vector<std::pair<TaskRef, std::string>> running;
  for (const auto& [worker, runs] : f.running) {
    for (const auto& [task, run] : runs) {
      running.emplace_back(task, worker);
    }
  }
  for (const auto& [task, worker] : running) {
    const uint32_t luck = random() % 20;
    if (luck == 0) {
      cell.failed_on[task] = worker;
      f.End(task, EndCause::kFailed);
    } else if (luck < 5) {
      f.End(task, EndCause::kDone);
    }
  }
}

// Plans once and compares each binding, and each task left waiting.
void PlanAndCompare(SchedulerFixture& f, PlainCell& cell) {
  f.now += Millis{20};
  cell.workers = f.scheduler.fleet().workers();
  f.scheduler.Tick(f.now, f.UnixMs(), f.now, f.out);
  for (const PendingRecord& pending : f.out.records) {
    const auto* bind = std::get_if<BindRecord>(&pending.record);
    if (bind == nullptr) {
      continue;
    }
    const JobSpec& spec = f.specs[bind->task.job];
    const std::string plain = ChoosePlainly(cell, bind->task, spec.steps[0],
                                            spec.queue == "advised", f.now);
    CHECK(bind->worker.id == plain);
    Worker& worker = cell.workers.find(bind->worker.id)->second;
    worker.used = placement::Add(worker.used, spec.steps[0].demand);
    worker.runs[bind->task].run = bind->run;
  }
}

void CheckNoneLeft(const SchedulerFixture& f, const PlainCell& cell) {
  for (const auto& [id, job] : f.table.jobs()) {
    for (size_t i = 0; i < job.steps[0].tasks.size(); ++i) {
      const TaskRef task{id, 0, static_cast<int32_t>(i)};
      const bool waits = job.steps[0].tasks[i].phase == TaskPhase::kWaiting &&
                         f.scheduler.fleet().FindRun(task) == nullptr;
      if (waits) {
        CHECK(ChoosePlainly(cell, task, job.spec.steps[0],
                            job.spec.queue == "advised", f.now)
                  .empty());
        break;
      }
    }
  }
}

void PlayRandomCell(uint32_t seed) {
  CAPTURE(seed);
  std::mt19937 random(seed);
  SchedulerFixture f;
  PlainCell cell;
  f.AddQueue("urgent", 0).max_attempts = 100;
  f.AddQueue("batch", 2).max_attempts = 100;
  QueuePolicy& advised = f.AddQueue("advised", 1);
  advised.max_attempts = 100;
  advised.advice = AdvicePolicy{20, 1, kAdviceValid.count()};
  AddRandomWorkers(f, random);
  f.Step();
  for (JobId round = 0; round < 10; ++round) {
    SubmitRandomJobs(f, random, 1 + round * kJobs);
    const int64_t plans = f.scheduler.plan_counts().full_plans;
    PlanAndCompare(f, cell);
    if (f.scheduler.plan_counts().full_plans > plans) {
      CheckNoneLeft(f, cell);
    }
    f.Step();
    AnswerQueries(f, cell, random);
    EndSomeTasks(f, cell, random);
    f.Step();
  }
}

}  // namespace

// Guards against a choice that looks at fewer workers and takes another one.
TEST_CASE("each single task gets the worker that a plain choice takes") {
  for (uint32_t seed = 1; seed <= kSeeds; ++seed) {
    PlayRandomCell(seed);
  }
}

}  // namespace azurespur::jobs
