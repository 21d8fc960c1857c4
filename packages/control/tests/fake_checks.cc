#include "fake_checks.h"

#include <algorithm>
#include <limits>
#include <map>
#include <utility>

#include "control/task_run.h"

namespace azurespur::control {

namespace {

struct Interval {
  int64_t from_ms = 0;
  int64_t to_ms = 0;
  std::string run_id;
};

int64_t EndOf(const JournalRun& run) {
  return run.end_ms < 0 ? std::numeric_limits<int64_t>::max() : run.end_ms;
}

void CheckAmounts(const FakeWorker& worker,
                  int64_t capacity,
                  bool memory,
                  std::vector<std::string>& violations) {
  std::map<int64_t, int64_t> changes;
  for (const JournalRun& run : worker.journal()) {
    const int64_t from_ms = memory ? run.held_ms : run.released_ms;
    if (from_ms < 0) {
      continue;
    }
    const int64_t amount = memory ? run.memory_mb : run.cpu_millis;
    changes[from_ms] += amount;
    changes[EndOf(run)] -= amount;
  }
  int64_t used = 0;
  for (const auto& [time_ms, change] : changes) {
    used += change;
    if (used > capacity) {
      violations.push_back(
          "overcommit: " + worker.id() + " at " + std::to_string(time_ms) +
          " ms " + (memory ? "memory " : "cpu ") + std::to_string(used));
      return;
    }
  }
}

std::string MemberOf(const std::string& run_id) {
  const RunIdParts parts = ParseRunId(run_id);
  return parts.task + run_id.substr(run_id.rfind('~'));
}

void CheckRuns(const FakeCell& cell, std::vector<std::string>& violations) {
  std::map<std::string, std::vector<Interval>> by_member;
  for (const auto& worker : cell.workers) {
    for (const JournalRun& run : worker->journal()) {
      if (run.released_ms >= 0) {
        by_member[MemberOf(run.id)].push_back(
            {run.released_ms, EndOf(run), run.id});
      }
    }
  }
  for (auto& [member, intervals] : by_member) {
    std::ranges::sort(intervals, {}, &Interval::from_ms);
    for (size_t i = 1; i < intervals.size(); ++i) {
      if (intervals[i].from_ms < intervals[i - 1].to_ms) {
        violations.push_back("double run: " + intervals[i - 1].run_id +
                             " and " + intervals[i].run_id);
      }
    }
    const std::string task = member.substr(0, member.rfind('~'));
    const auto spec = cell.submitted.find(task);
    if (intervals.size() > 1 && spec != cell.submitted.end() &&
        spec->second.non_idempotent) {
      violations.push_back("ran more than once: " + member);
    }
  }
}

bool FinishedInJournal(const FakeCell& cell, const TaskSpec& spec) {
  std::map<uint64_t, int64_t> finished;
  for (const auto& worker : cell.workers) {
    for (const JournalRun& run : worker->journal()) {
      const RunIdParts parts = ParseRunId(run.id);
      if (run.finished && parts.task == spec.id) {
        ++finished[parts.attempt];
      }
    }
  }
  return std::ranges::any_of(finished, [&spec](const auto& item) {
    return item.second == spec.members;
  });
}

bool ReleasedInJournal(const FakeCell& cell, const std::string& id) {
  for (const auto& worker : cell.workers) {
    for (const JournalRun& run : worker->journal()) {
      if (run.released_ms >= 0 && ParseRunId(run.id).task == id) {
        return true;
      }
    }
  }
  return false;
}

}  // namespace

FakeVerdict CheckCell(const FakeCell& cell) {
  FakeVerdict verdict;
  for (const auto& worker : cell.workers) {
    CheckAmounts(*worker, cell.options.worker_cpu_millis, false,
                 verdict.violations);
    CheckAmounts(*worker, cell.options.worker_memory_mb, true,
                 verdict.violations);
  }
  CheckRuns(cell, verdict.violations);
  for (const auto& [id, spec] : cell.accepted) {
    TaskFate fate;
    for (const auto& vm : cell.vms) {
      if (vm->alive) {
        fate = vm->service->Fate(id);
      }
    }
    const std::string said = id + " is said to be " + fate.fate;
    if (fate.fate == "finished") {
      ++verdict.finished;
      if (!FinishedInJournal(cell, spec)) {
        verdict.violations.push_back("untrue fate: " + said);
      }
    } else if (fate.fate == "failed" || fate.fate == "cancelled") {
      ++verdict.failed;
      if (fate.reason.find("before it ran") != std::string::npos &&
          ReleasedInJournal(cell, id)) {
        verdict.violations.push_back("untrue fate: " + said);
      }
      if (fate.fate == "failed" && !spec.non_idempotent) {
        verdict.violations.push_back("lost: " + said + ": " + fate.reason);
      }
    } else if (fate.fate == "may-have-run" && spec.non_idempotent) {
      ++verdict.may_have_run;
    } else {
      verdict.violations.push_back("lost: " + said);
    }
  }
  return verdict;
}

}  // namespace azurespur::control
