// Rules about tasks and workers.

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <tuple>
#include <utility>

#include "history/rules.h"
#include "run_id.h"

namespace azurespur::history {

namespace {

using Member = std::pair<std::string, std::string>;  // Task and member.
using Place = std::pair<std::string, std::string>;   // Worker and run.

std::string At(int64_t time_ms) {
  return " at " + std::to_string(time_ms);
}

Place PlaceOf(const WorkerEvent& event) {
  return {event.worker, event.run};
}

struct Sizes {
  int64_t cpu_millis = 0;
  int64_t memory_mb = 0;
  int64_t accelerators = 0;

  void Add(const WorkerEvent& event, int64_t sign) {
    cpu_millis += sign * event.cpu_millis;
    memory_mb += sign * event.memory_mb;
    accelerators += sign * event.accelerators;
  }
  bool FitsInto(const Sizes& capacity) const {
    return cpu_millis <= capacity.cpu_millis &&
           memory_mb <= capacity.memory_mb &&
           accelerators <= capacity.accelerators;
  }
  std::string Text() const {
    return std::to_string(cpu_millis) + " cpu_millis, " +
           std::to_string(memory_mb) + " memory_mb, " +
           std::to_string(accelerators) + " accelerators";
  }
};

// Whether the end was a worker's own verdict that the work is done.
bool IsDone(const WorkerEvent& event) {
  return event.event == "end" && event.reason == "finished";
}

std::set<std::string> AcceptedTasks(const History& history) {
  std::set<std::string> tasks;
  for (const TaskAnswer& answer : history.task_answers) {
    if (answer.accepted) {
      tasks.insert(answer.task);
    }
  }
  return tasks;
}

}  // namespace

std::vector<Violation> CheckOneRunAtATime(const History& history) {
  std::vector<Violation> violations;
  // Runs of one instant may stand in any order across workers: ends first.
  std::vector<const WorkerEvent*> events;
  for (const WorkerEvent& event : history.worker_events) {
    events.push_back(&event);
  }
  std::stable_sort(events.begin(), events.end(),
                   [](const WorkerEvent* a, const WorkerEvent* b) {
                     const auto key = [](const WorkerEvent& e) {
                       return std::make_tuple(e.time_ms, e.event == "release");
                     };
                     return key(*a) < key(*b);
                   });
  std::map<Member, std::set<Place>> working;
  std::map<Place, int64_t> ended_early;  // Before their release is seen here.
  for (const WorkerEvent* event : events) {
    const RunId id = ParseRunId(event->run);
    if (id.task.empty()) {
      continue;
    }
    std::set<Place>& places = working[{id.task, id.member}];
    if (event->event != "release") {
      if (event->event != "start" && places.erase(PlaceOf(*event)) == 0 &&
          event->event == "end") {
        ended_early[PlaceOf(*event)] = event->time_ms;
      }
      continue;
    }
    const auto early = ended_early.find(PlaceOf(*event));
    if (early != ended_early.end() && early->second == event->time_ms) {
      continue;
    }
    places.insert(PlaceOf(*event));
    if (places.size() > 1) {
      violations.push_back(
          {"one-run", "task " + id.task + " member " + id.member +
                          " works on " + places.begin()->first + " and " +
                          places.rbegin()->first + At(event->time_ms)});
    }
  }
  return violations;
}

std::vector<Violation> CheckCapacity(const History& history) {
  std::vector<Violation> violations;
  std::map<std::string, Sizes> capacities;
  std::map<std::string, Sizes> used;
  std::map<Place, WorkerEvent> started;
  for (const WorkerEvent& event : history.worker_events) {
    if (event.event == "capacity") {
      capacities[event.worker] = {event.cpu_millis, event.memory_mb,
                                  event.accelerators};
    } else if (event.event == "start") {
      Sizes& sum = used[event.worker];
      sum.Add(event, 1);
      started[PlaceOf(event)] = event;
      if (!sum.FitsInto(capacities[event.worker])) {
        violations.push_back(
            {"capacity", "worker " + event.worker + " holds " + sum.Text() +
                             " of " + capacities[event.worker].Text() +
                             " with " + event.run + At(event.time_ms)});
      }
    } else if (event.event == "end") {
      const auto node = started.extract(PlaceOf(event));
      if (!node.empty()) {
        used[event.worker].Add(node.mapped(), -1);
      }
    }
  }
  return violations;
}

std::vector<Violation> CheckAcceptedEnds(const History& history) {
  static const std::set<std::string> ends = {"finished", "failed", "cancelled",
                                             "may-have-run"};
  std::vector<Violation> violations;
  std::map<std::string, std::string> fates;
  for (const TaskOutcome& outcome : history.task_outcomes) {
    fates[outcome.task] = outcome.fate;
  }
  std::set<std::string> done;
  for (const WorkerEvent& event : history.worker_events) {
    if (IsDone(event)) {
      done.insert(ParseRunId(event.run).task);
    }
  }
  for (const std::string& task : AcceptedTasks(history)) {
    const std::string& fate = fates[task];
    if (ends.count(fate) == 0) {
      violations.push_back(
          {"accepted-ends", "task " + task +
                                " was accepted; its last fate is " +
                                (fate.empty() ? "unknown" : fate)});
    } else if (fate == "finished" && done.count(task) == 0) {
      violations.push_back(
          {"accepted-ends",
           "task " + task + " is called finished; no worker finished it"});
    }
  }
  return violations;
}

}  // namespace azurespur::history
