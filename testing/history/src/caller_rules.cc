// Rules about what callers and operators hear.

#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <utility>

#include "history/rules.h"
#include "run_id.h"

namespace azurespur::history {

namespace {

std::string At(int64_t time_ms) {
  return " at " + std::to_string(time_ms);
}

// Begun requests by key, each with the number of times.
std::map<std::string, int> BegunRequests(const History& history) {
  std::map<std::string, int> begun;
  for (const ExecutorEvent& event : history.executor_events) {
    if (event.event == "begin") {
      ++begun[event.key];
    }
  }
  return begun;
}

// Released members by task, each with the number of runs that did work.
std::map<std::string, std::map<std::string, int>> ReleasedMembers(
    const History& history) {
  std::set<std::pair<std::string, std::string>> seen;
  std::map<std::string, std::map<std::string, int>> released;
  for (const WorkerEvent& event : history.worker_events) {
    const RunId id = ParseRunId(event.run);
    if (event.event == "restart") {
      std::erase_if(seen, [&event](const auto& place) {
        return place.first == event.worker;
      });
    }
    // A throttled run that is released again goes on, it does not begin.
    if (event.event == "release" && !id.task.empty() &&
        seen.insert({event.worker, event.run}).second) {
      ++released[id.task][id.member];
    }
  }
  return released;
}

}  // namespace

std::vector<Violation> CheckAtMostOnce(const History& history) {
  std::vector<Violation> violations;
  const auto begun = BegunRequests(history);
  const auto released = ReleasedMembers(history);
  std::set<std::string> seen;
  for (const RequestAnswer& answer : history.request_answers) {
    const auto it = begun.find(answer.key);
    if (answer.non_idempotent && it != begun.end() && it->second > 1 &&
        seen.insert(answer.key).second) {
      violations.push_back(
          {"at-most-once", "request " + answer.key + " began " +
                               std::to_string(it->second) + " times"});
    }
  }
  for (const TaskAnswer& answer : history.task_answers) {
    const auto it = released.find(answer.task);
    if (!answer.non_idempotent || it == released.end() ||
        !seen.insert(answer.task).second) {
      continue;
    }
    for (const auto& [member, count] : it->second) {
      if (count > 1) {
        violations.push_back(
            {"at-most-once", "task " + answer.task + " member " + member +
                                 " began " + std::to_string(count) + " times"});
      }
    }
  }
  return violations;
}

std::vector<Violation> CheckSlots(const History& history) {
  std::vector<Violation> violations;
  for (const ExecutorEvent& event : history.executor_events) {
    if (event.event == "excess") {
      violations.push_back(
          {"slots", "executor " + event.executor + " got request " + event.key +
                        " with all slots in use" + At(event.time_ms)});
    }
  }
  return violations;
}

std::vector<Violation> CheckOwnAnswer(const History& history) {
  std::vector<Violation> violations;
  for (const RequestAnswer& answer : history.request_answers) {
    if (answer.fate != "ran") {
      continue;
    }
    const auto got = nlohmann::json::parse(answer.answer, nullptr, false);
    const auto sent = nlohmann::json::parse(answer.sent, nullptr, false);
    if (!got.is_object() || !got.contains("echo") || got["echo"] != sent) {
      violations.push_back({"own-answer", "request " + answer.key + " sent " +
                                              answer.sent + " and got " +
                                              answer.answer});
    }
  }
  return violations;
}

std::vector<Violation> CheckNotRun(const History& history) {
  std::vector<Violation> violations;
  const auto begun = BegunRequests(history);
  const auto released = ReleasedMembers(history);
  std::set<std::string> begun_sendings;
  for (const ExecutorEvent& event : history.executor_events) {
    if (event.event == "begin") {
      begun_sendings.insert(event.sending);
    }
  }
  std::set<std::string> other_fates;  // Keys with a sending not refused so.
  for (const RequestAnswer& answer : history.request_answers) {
    if (answer.fate != "not-run") {
      other_fates.insert(answer.key);
    }
  }
  for (const RequestAnswer& answer : history.request_answers) {
    const bool sending_began = begun_sendings.count(answer.sending) != 0;
    const bool key_began =
        begun.count(answer.key) != 0 && other_fates.count(answer.key) == 0;
    if (answer.fate == "not-run" && (sending_began || key_began)) {
      violations.push_back({"not-run", "request " + answer.key + " sending " +
                                           answer.sending +
                                           " was refused as not run" +
                                           At(answer.time_ms) + " and began"});
    }
  }
  std::set<std::string> accepted;
  for (const TaskAnswer& answer : history.task_answers) {
    if (answer.accepted) {
      accepted.insert(answer.task);
    }
  }
  for (const TaskAnswer& answer : history.task_answers) {
    if (answer.not_run && accepted.count(answer.task) == 0 &&
        released.count(answer.task) != 0) {
      violations.push_back({"not-run", "task " + answer.task +
                                           " was refused as not run" +
                                           At(answer.time_ms) + " and began"});
    }
  }
  return violations;
}

std::vector<Violation> CheckListsForward(const History& history) {
  std::vector<Violation> violations;
  std::map<std::pair<std::string, std::string>, int64_t> newest;
  std::map<std::pair<std::string, int64_t>, std::string> digests;
  for (const ListSample& sample : history.list_samples) {
    int64_t& version = newest[{sample.vm, sample.list}];
    if (sample.version < version) {
      violations.push_back(
          {"lists-forward",
           "list " + sample.list + " on " + sample.vm + " went from version " +
               std::to_string(version) + " back to " +
               std::to_string(sample.version) + At(sample.time_ms)});
    }
    version = sample.version;
    std::string& digest = digests[{sample.list, sample.version}];
    if (!digest.empty() && digest != sample.digest) {
      violations.push_back(
          {"lists-forward", "list " + sample.list + " version " +
                                std::to_string(sample.version) + " on " +
                                sample.vm + " has digest " + sample.digest +
                                ", elsewhere " + digest});
    }
    digest = sample.digest;
  }
  return violations;
}

std::vector<Violation> CheckLeaving(const History& history, int64_t limit_ms) {
  std::vector<Violation> violations;
  std::map<std::string, int64_t> closed;
  for (const LeavingNotice& notice : history.leaving_notices) {
    closed.emplace(notice.vm, notice.time_ms + limit_ms);
  }
  const auto check = [&](const std::string& vm, const std::string& work,
                         int64_t time_ms) {
    const auto it = closed.find(vm);
    if (it != closed.end() && time_ms > it->second) {
      violations.push_back(
          {"leaving", "leaving VM " + vm + " got " + work + " " +
                          std::to_string(time_ms - it->second + limit_ms) +
                          " ms after the notice"});
    }
  };
  for (const ExecutorEvent& event : history.executor_events) {
    if (event.event == "receive") {
      check(event.executor, event.key, event.time_ms);
    }
  }
  for (const WorkerEvent& event : history.worker_events) {
    if (event.event == "start" && !ParseRunId(event.run).task.empty()) {
      check(event.worker, event.run, event.time_ms);
    }
  }
  return violations;
}

std::vector<Violation> CheckAll(const History& history,
                                const RuleOptions& options) {
  std::vector<Violation> all;
  const auto add = [&all](std::vector<Violation> found) {
    all.insert(all.end(), std::make_move_iterator(found.begin()),
               std::make_move_iterator(found.end()));
  };
  add(CheckOneRunAtATime(history));
  add(CheckAtMostOnce(history));
  add(CheckCapacity(history));
  add(CheckSlots(history));
  add(CheckOwnAnswer(history));
  add(CheckNotRun(history));
  add(CheckListsForward(history));
  add(CheckLeaving(history, options.leaving_limit_ms));
  if (options.expect_all_ended) {
    add(CheckAcceptedEnds(history));
  }
  return all;
}

}  // namespace azurespur::history
