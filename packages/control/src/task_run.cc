#include "control/task_run.h"

#include <algorithm>
#include <charconv>

namespace azurespur::control {

namespace {

constexpr char kRunIdSeparator = '~';
constexpr std::string_view kIntentPrefix = "intent~";

bool Any(const TaskRun& run, MemberPhase phase) {
  return std::ranges::any_of(run.members, [phase](const MemberRun& member) {
    return member.phase == phase;
  });
}

bool All(const TaskRun& run, MemberPhase phase) {
  return std::ranges::all_of(run.members, [phase](const MemberRun& member) {
    return member.phase == phase;
  });
}

const std::string& DetailOf(const TaskRun& run, MemberPhase phase) {
  const auto found = std::ranges::find(run.members, phase, &MemberRun::phase);
  return found == run.members.end() ? run.members.front().detail
                                    : found->detail;
}

RunDecision End(TaskPhase phase, std::string reason, std::string result = {}) {
  return {RunStep::kRecordEnd, phase, std::move(reason), std::move(result)};
}

RunDecision GiveBack(std::string reason) {
  return {RunStep::kGiveBack, TaskPhase::kAccepted, std::move(reason), {}};
}

// Every member is settled and not all are finished.
RunDecision DecideSettled(const TaskRun& run) {
  if (Any(run, MemberPhase::kFailed)) {
    return End(TaskPhase::kFailed, DetailOf(run, MemberPhase::kFailed));
  }
  const bool not_run = All(run, MemberPhase::kNotRun);
  const bool unknown = run.non_idempotent && Any(run, MemberPhase::kForgotten);
  if (unknown) {
    return run.held ? RunDecision{}
                    : End(TaskPhase::kMayHaveRun,
                          "its worker can't tell whether it ran to its end");
  }
  if (run.cancel) {
    return End(TaskPhase::kCancelled,
               not_run ? "cancelled before it ran" : "cancelled while it ran");
  }
  if (not_run) {
    return GiveBack(DetailOf(run, MemberPhase::kNotRun));
  }
  if (!run.non_idempotent) {
    return GiveBack(run.moving ? run.move_reason : "stopped before its end");
  }
  return End(TaskPhase::kFailed, "stopped before its end");
}

void Settle(MemberRun& member, MemberPhase phase, std::string detail = {}) {
  member.phase = phase;
  if (!detail.empty()) {
    member.detail = std::move(detail);
  }
}

// Returns false if `entry` shows no end.
bool SettleEnd(MemberRun& member, const services::WorkerTask& entry) {
  switch (entry.state) {
    case services::WorkerTaskState::kFinished:
      Settle(member, MemberPhase::kFinished, entry.result);
      return true;
    case services::WorkerTaskState::kFailed:
      Settle(
          member, MemberPhase::kFailed,
          "exit " + std::to_string(entry.exit) + " on worker " + member.worker);
      return true;
    case services::WorkerTaskState::kStopped:
    case services::WorkerTaskState::kLapsed:
      Settle(member,
             entry.released ? MemberPhase::kStopped : MemberPhase::kNotRun);
      return true;
    case services::WorkerTaskState::kThrottled:
    case services::WorkerTaskState::kRunning:
      return false;
  }
  return false;
}

}  // namespace

std::string MemberRunId(std::string_view task,
                        uint64_t attempt,
                        size_t member) {
  std::string id(task);
  id += kRunIdSeparator;
  id += std::to_string(attempt);
  id += kRunIdSeparator;
  id += std::to_string(member);
  return id;
}

std::string IntentId(std::string_view run_id) {
  return std::string(kIntentPrefix) + std::string(run_id);
}

bool IsIntent(std::string_view worker_task_id) {
  return worker_task_id.starts_with(kIntentPrefix);
}

RunIdParts ParseRunId(std::string_view run_id) {
  const size_t last = run_id.rfind(kRunIdSeparator);
  if (last == std::string_view::npos || last == 0) {
    return {};
  }
  const size_t first = run_id.rfind(kRunIdSeparator, last - 1);
  if (first == std::string_view::npos) {
    return {};
  }
  RunIdParts parts;
  const std::string_view attempt = run_id.substr(first + 1, last - first - 1);
  const auto parsed = std::from_chars(
      attempt.data(), attempt.data() + attempt.size(), parts.attempt);
  if (parsed.ec != std::errc() ||
      parsed.ptr != attempt.data() + attempt.size()) {
    return {};
  }
  parts.task = run_id.substr(0, first);
  return parts;
}

TaskRun MakeTaskRun(const TaskState& task) {
  TaskRun run;
  run.id = task.spec.id;
  run.attempt = task.attempt;
  run.plan = task.spec.plan;
  run.name = task.spec.name;
  run.kind = task.spec.kind;
  run.urgent = task.spec.urgent;
  run.rack_limit = task.spec.rack_limit;
  run.size = {task.cpu_millis, task.memory_mb, task.accelerators};
  run.non_idempotent = task.spec.non_idempotent;
  run.cancel = task.cancel_requested;
  run.started_recorded = task.phase != TaskPhase::kBound;
  run.held = task.phase == TaskPhase::kMayHaveRun;
  for (size_t i = 0; i < task.places.size(); ++i) {
    MemberRun member;
    member.worker = task.places[i].worker;
    member.run_id = MemberRunId(task.spec.id, task.attempt, i);
    run.members.push_back(std::move(member));
  }
  return run;
}

bool IsActive(const MemberRun& member) {
  return member.phase == MemberPhase::kStarting ||
         member.phase == MemberPhase::kThrottled ||
         member.phase == MemberPhase::kReleasing ||
         member.phase == MemberPhase::kRunning ||
         member.phase == MemberPhase::kStopping;
}

RunDecision DecideRun(const TaskRun& run) {
  if (run.members.empty() || Any(run, MemberPhase::kUnsettled)) {
    return {};
  }
  if (All(run, MemberPhase::kFinished)) {
    return End(TaskPhase::kFinished, {}, run.members.front().detail);
  }
  const bool broken =
      Any(run, MemberPhase::kNotRun) || Any(run, MemberPhase::kStopped) ||
      Any(run, MemberPhase::kForgotten) || Any(run, MemberPhase::kFailed);
  if (broken || run.cancel || run.moving) {
    const bool settled = std::ranges::all_of(run.members, IsSettled);
    return settled ? DecideSettled(run)
                   : RunDecision{RunStep::kStop, {}, {}, {}};
  }
  if (Any(run, MemberPhase::kIdle)) {
    return {RunStep::kStart, {}, {}, {}};
  }
  if (Any(run, MemberPhase::kStarting) || Any(run, MemberPhase::kStopping)) {
    return {};
  }
  if (Any(run, MemberPhase::kThrottled)) {
    return {RunStep::kRelease, {}, {}, {}};
  }
  if (!run.started_recorded && !Any(run, MemberPhase::kReleasing)) {
    return {RunStep::kRecordStarted, {}, {}, {}};
  }
  return {};
}

void SettleFromReport(MemberRun& member,
                      const services::WorkerTask* entry,
                      int64_t made_ms,
                      int64_t settle_ms) {
  if (IsSettled(member) && member.phase != MemberPhase::kForgotten) {
    return;
  }
  if (entry != nullptr) {
    const bool held = !SettleEnd(member, *entry);
    if (!held) {
      return;
    }
    member.seen = true;
    member.absent_from_ms = 0;
    member.peak = placement::Max(
        member.peak,
        {entry->cpu_millis, entry->memory_mb, entry->accelerators});
    const bool running = entry->state == services::WorkerTaskState::kRunning;
    if (running && (member.phase == MemberPhase::kReleasing ||
                    member.phase == MemberPhase::kUnsettled)) {
      member.phase = MemberPhase::kRunning;
      member.may_be_released = true;
    }
    return;
  }
  const bool expected = member.phase == MemberPhase::kRunning ||
                        member.phase == MemberPhase::kReleasing ||
                        member.phase == MemberPhase::kThrottled ||
                        member.phase == MemberPhase::kUnsettled;
  if (!expected) {
    return;
  }
  if (member.absent_from_ms == 0) {
    member.absent_from_ms = made_ms;
  }
  if (member.seen || made_ms - member.absent_from_ms >= settle_ms) {
    Settle(member, member.may_be_released ? MemberPhase::kForgotten
                                          : MemberPhase::kNotRun);
  }
}

void SettleInherited(MemberRun& member,
                     const services::WorkerTask* entry,
                     bool untouched) {
  if (entry == nullptr && untouched) {
    member.phase = MemberPhase::kIdle;
    return;
  }
  member.may_be_released = true;
  member.intent_written = true;
  if (entry == nullptr) {
    Settle(member, MemberPhase::kForgotten);
    return;
  }
  if (SettleEnd(member, *entry)) {
    return;
  }
  member.seen = true;
  member.phase = entry->state == services::WorkerTaskState::kRunning
                     ? MemberPhase::kRunning
                     : MemberPhase::kThrottled;
}

void SettleFromStop(MemberRun& member, const services::WorkerStop& stop) {
  if (stop.released) {
    Settle(member,
           stop.known ? MemberPhase::kStopped : MemberPhase::kUnsettled);
    return;
  }
  if (stop.known || !member.may_be_released) {
    Settle(member, MemberPhase::kNotRun);
    return;
  }
  // Unknown to the worker: it restarted, or forgot the task.
  Settle(member, MemberPhase::kForgotten);
}

}  // namespace azurespur::control
