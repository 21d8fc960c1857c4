// What a caller asked to run.

#ifndef CONTROL_TASK_SPEC_H_
#define CONTROL_TASK_SPEC_H_

#include <cstdint>
#include <string>

namespace azurespur::control {

enum class TaskKind : uint8_t { kBatch, kService, kGang };

struct TaskSpec {
  std::string id;
  std::string plan;
  std::string name;
  TaskKind kind = TaskKind::kBatch;
  int64_t members = 1;     // Gangs: tasks that start together.
  int64_t cpu_millis = 0;  // Sizes are those of one member.
  int64_t memory_mb = 0;
  int64_t accelerators = 0;
  int64_t rack_limit = 0;       // Most members in one rack; 0 is no limit.
  bool non_idempotent = false;  // Must run at most once.
  bool urgent = false;
  int64_t expected_ms = 0;
  std::string payload;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(id, plan, name, kind, members, cpu_millis, memory_mb, accelerators,
            rack_limit, non_idempotent, urgent, expected_ms, payload);
  }

  friend bool operator==(const TaskSpec&, const TaskSpec&) = default;
};

}  // namespace azurespur::control

#endif  // CONTROL_TASK_SPEC_H_
