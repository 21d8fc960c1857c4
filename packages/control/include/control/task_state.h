// State of one task, as the stream "tasks" tells it.

#ifndef CONTROL_TASK_STATE_H_
#define CONTROL_TASK_STATE_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "control/task_spec.h"

namespace azurespur::control {

// Order matters: everything from kFinished on is an end.
enum class TaskPhase : uint8_t {
  kAccepted,    // Not bound.
  kBound,       // Bound to workers, not known to do work.
  kRunning,     // Released on its workers.
  kMayHaveRun,  // Non-idempotent, and nobody can tell; kept for a later proof.
  kFinished,
  kFailed,
  kCancelled,
};

// Place of one member, and what the owner knew of the worker when it bound the
// task.
struct TaskPlace {
  std::string worker;
  std::string marker;   // Of the owner.
  std::string boot;     // Of the worker.
  int64_t made_ms = 0;  // Of the newest report; the worker's clock.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(worker, marker, boot, made_ms);
  }
};

struct TaskState {
  TaskSpec spec;
  TaskPhase phase = TaskPhase::kAccepted;
  std::string domain;    // That claims it; empty if given back.
  uint64_t version = 0;  // Grows by one with each record that took effect.
  uint64_t attempt = 0;  // Of the newest binding; 0 if never bound.
  std::vector<TaskPlace> places;  // One for each member while bound.
  int64_t cpu_millis = 0;         // Reserved for each member while bound.
  int64_t memory_mb = 0;
  int64_t accelerators = 0;
  bool cancel_requested = false;
  std::string checkpoint;  // Newest checkpoint to resume from.
  std::string reason;
  std::string result;
  int64_t accepted_ms = 0;  // Times are the log service's clock.
  int64_t written_ms = 0;   // Of the newest record that holds this state.
  int64_t ended_ms = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(spec, phase, domain, version, attempt, places, cpu_millis,
            memory_mb, accelerators, cancel_requested, checkpoint, reason,
            result, accepted_ms, written_ms, ended_ms);
  }
};

inline bool HasEnded(const TaskState& task) {
  return task.phase >= TaskPhase::kFinished;
}

inline bool IsBound(const TaskState& task) {
  return task.phase == TaskPhase::kBound || task.phase == TaskPhase::kRunning;
}

// Name in the API, such as "may-have-run".
std::string_view TaskPhaseName(TaskPhase phase);

}  // namespace azurespur::control

#endif  // CONTROL_TASK_STATE_H_
