#include "control/task_demand.h"

namespace azurespur::control {

namespace {

placement::TaskClass ToTaskClass(TaskKind kind) {
  switch (kind) {
    case TaskKind::kBatch:
      return placement::TaskClass::kBatch;
    case TaskKind::kService:
      return placement::TaskClass::kService;
    case TaskKind::kGang:
      return placement::TaskClass::kGang;
  }
  return placement::TaskClass::kBatch;
}

}  // namespace

placement::TaskDemand ToDemand(const TaskState& task, int64_t now_ms) {
  const TaskSpec& spec = task.spec;
  placement::TaskDemand demand;
  demand.id = spec.id;
  demand.plan = spec.plan;
  demand.job = spec.name;
  demand.task_class = ToTaskClass(spec.kind);
  demand.gang_size = spec.members;
  demand.size = {spec.cpu_millis, spec.memory_mb, spec.accelerators};
  demand.rack_limit = spec.rack_limit;
  demand.urgent = spec.urgent;
  demand.expected_run_ms = spec.expected_ms;
  demand.submitted_ms = now_ms;
  return demand;
}

placement::RunningTask ToRunningTask(const TaskRun& run, int64_t now_ms) {
  placement::RunningTask running;
  running.id = run.id;
  running.plan = run.plan;
  running.job = run.name;
  running.task_class = ToTaskClass(run.kind);
  running.urgent = run.urgent;
  running.checkpointable = !run.non_idempotent;
  running.rack_limit = run.rack_limit;
  running.size = run.size;
  for (const MemberRun& member : run.members) {
    running.workers.push_back(member.worker);
  }
  running.started_ms = now_ms;
  return running;
}

}  // namespace azurespur::control
