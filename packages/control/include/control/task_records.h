// Payloads of the entries of the stream "tasks".

#ifndef CONTROL_TASK_RECORDS_H_
#define CONTROL_TASK_RECORDS_H_

#include <cstdint>
#include <string>
#include <vector>

#include "control/task_spec.h"
#include "control/task_state.h"

namespace azurespur::control {

// Accepts a task and claims it for `domain`. The first record of an id wins.
struct TaskAccept {
  TaskSpec spec;
  std::string domain;
  int64_t made_ms = 0;  // Newest time of the log's clock known to the maker.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(spec, domain, made_ms);
  }
};

// Claims an unbound task for `domain`. Like all records with a `version`, it
// takes effect only on the state that it was made from.
struct TaskClaim {
  std::string id;
  uint64_t version = 0;
  std::string domain;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(id, version, domain);
  }
};

// Binds all members of a task at once.
struct TaskBind {
  std::string id;
  uint64_t version = 0;
  std::string domain;
  std::vector<TaskPlace> places;
  int64_t cpu_millis = 0;  // Reserved for each member.
  int64_t memory_mb = 0;
  int64_t accelerators = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(id, version, domain, places, cpu_millis, memory_mb, accelerators);
  }
};

// All members of the attempt were released.
struct TaskStarted {
  std::string id;
  uint64_t attempt = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(id, attempt);
  }
};

// The end of an attempt, made by the owner of its workers. kMayHaveRun is kept
// open for a later proof.
struct TaskEnd {
  std::string id;
  uint64_t attempt = 0;
  TaskPhase phase = TaskPhase::kFinished;
  std::string reason;
  std::string result;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(id, attempt, phase, reason, result);
  }
};

// Ends a binding so that the task can run again. The maker has proof that the
// attempt does not run and never will.
struct TaskGiveBack {
  std::string id;
  uint64_t version = 0;
  bool keep_domain = true;  // Otherwise any domain may claim it.
  std::string checkpoint;
  std::string reason;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(id, version, keep_domain, checkpoint, reason);
  }
};

// A wave of cancellations.
struct TaskCancel {
  std::vector<std::string> ids;
  std::string reason;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(ids, reason);
  }
};

// Restates one task before its records expire.
struct TaskRefresh {
  TaskState task;
  int64_t made_ms = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(task, made_ms);
  }
};

}  // namespace azurespur::control

#endif  // CONTROL_TASK_RECORDS_H_
