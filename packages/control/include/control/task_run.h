// One attempt of a task on its workers, as the owner of those workers sees it.
// Plain structs and pure functions.

#ifndef CONTROL_TASK_RUN_H_
#define CONTROL_TASK_RUN_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "control/task_state.h"
#include "placement/resources.h"
#include "services/worker_client.h"

namespace azurespur::control {

enum class MemberPhase : uint8_t {
  kUnsettled,  // Inherited or ended unseen: a report has to tell.
  kIdle,       // Never sent to the worker.
  kStarting,   // Start sent.
  kThrottled,  // Held by the worker, does no work.
  kReleasing,  // Release sent.
  kRunning,
  kStopping,  // Stop sent.
  // Settled:
  kNotRun,     // Does not run and did no work.
  kStopped,    // Did work, was stopped before its end.
  kForgotten,  // Does not run; nobody can tell whether it did work or ended.
  kFinished,
  kFailed,
};

struct MemberRun {
  std::string worker;
  std::string run_id;  // On the worker.
  MemberPhase phase = MemberPhase::kIdle;
  bool may_be_released = false;
  bool lost = false;  // Its worker is not owned at the moment.
  bool gone = false;  // Its worker left the VM list, so its boot is over.
  bool seen = false;  // A report showed it held or running.
  bool intent_written = false;
  bool intent_pending = false;
  int64_t absent_from_ms = 0;  // Made time of the first report without it.
  base::MonoTime sent;         // Newest message about it.
  base::MonoTime held_since;   // It is known to be on the worker.
  base::MonoTime running_since;
  placement::Resources peak;  // Largest usage that was reported.
  std::string detail;         // Result, or why it failed.
};

struct TaskRun {
  std::string id;
  uint64_t attempt = 0;
  std::string plan;
  std::string name;
  TaskKind kind = TaskKind::kBatch;
  bool urgent = false;
  int64_t rack_limit = 0;
  placement::Resources size;  // Reserved for one member.
  bool non_idempotent = false;
  bool cancel = false;
  bool moving = false;  // Leaves its worker to run elsewhere.
  std::string move_reason;
  std::string checkpoint;
  bool started_recorded = false;
  bool held = false;  // Recorded as may-have-run.
  bool append_pending = false;
  base::MonoTime append_sent;
  base::MonoTime retry_at;  // No record earlier.
  std::vector<MemberRun> members;
};

enum class RunStep {
  kWait,
  kStart,
  kRelease,
  kStop,  // Stop every member that is still active.
  kRecordStarted,
  kRecordEnd,
  kGiveBack,
};

struct RunDecision {
  RunStep step = RunStep::kWait;
  TaskPhase end = TaskPhase::kFinished;
  std::string reason;
  std::string result;
};

// The id of a member on its worker.
std::string MemberRunId(std::string_view task, uint64_t attempt, size_t member);

// The id of the mark that an owner leaves on a worker before it starts or gives
// back a non-idempotent member there. It outlives the owner, so that its
// absence proves to a successor that the member was never touched.
std::string IntentId(std::string_view run_id);

bool IsIntent(std::string_view worker_task_id);

struct RunIdParts {
  std::string task;
  uint64_t attempt = 0;
};

// Reverses MemberRunId(); an empty task if `run_id` is none.
RunIdParts ParseRunId(std::string_view run_id);

TaskRun MakeTaskRun(const TaskState& task);

inline bool IsSettled(const MemberRun& member) {
  return member.phase >= MemberPhase::kNotRun;
}

// True while the worker may hold the member.
bool IsActive(const MemberRun& member);

// What to do next.
RunDecision DecideRun(const TaskRun& run);

// Applies what a report says of a member; `entry` is null if it says nothing.
// `settle_ms`: reports made over this long a time must miss a member that was
// never seen before it counts as forgotten.
void SettleFromReport(MemberRun& member,
                      const services::WorkerTask* entry,
                      int64_t made_ms,
                      int64_t settle_ms);

// The same for a member that an earlier owner was responsible for. `untouched`:
// it is certain that no earlier owner started it or gave it back.
void SettleInherited(MemberRun& member,
                     const services::WorkerTask* entry,
                     bool untouched);

void SettleFromStop(MemberRun& member, const services::WorkerStop& stop);

}  // namespace azurespur::control

#endif  // CONTROL_TASK_RUN_H_
