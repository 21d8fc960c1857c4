// Records of the two log streams that hold all jobs.
//
// Any VM appends to the intake stream; the first record for a job wins. Only
// the leader, fenced by its epoch, appends to the work stream. Every VM applies
// both to its job table.

#ifndef JOBS_RECORDS_H_
#define JOBS_RECORDS_H_

#include <cereal/types/variant.hpp>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

#include "base/outcome.h"
#include "jobs/job_spec.h"
#include "jobs/task_ref.h"

namespace azurespur::jobs {

struct CancelRecord {
  JobId job = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(job);
  }
};

using IntakeRecord = std::variant<JobSpec, CancelRecord>;

// A VM leads the cell from here on.
struct LeaderRecord {
  uint64_t epoch = 0;
  std::string vm;
  std::string address;  // "IP:PORT" for datagrams of peers.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(epoch, vm, address);
  }
};

// The leader stops; any VM may take over at once.
struct YieldRecord {
  uint64_t epoch = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(epoch);
  }
};

// Proof that the leader lives. The records after it may name any job of the
// intake stream before `intake_end`, so a reader applies those first.
struct HeartbeatRecord {
  uint64_t epoch = 0;
  int64_t intake_end = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(epoch, intake_end);
  }
};

// From here on the task may run on the worker. Recorded before the start is
// sent, so that a successor knows every place where a task may be.
struct BindRecord {
  TaskRef task;
  int32_t run = 0;
  WorkerBoot worker;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(task, run, worker);
  }
};

// A task of the job runs, for the first time.
struct JobStartedRecord {
  JobId job = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(job);
  }
};

enum class EndKind : uint8_t {
  kDone,
  kFailed,    // Counts as an attempt.
  kReleased,  // Never ran, was stopped or lost its worker.
};

// The run is over and can't come back.
struct EndRecord {
  TaskRef task;
  int32_t run = 0;
  EndKind kind = EndKind::kReleased;
  std::string checkpoint;  // Empty: none.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(task, run, kind, checkpoint);
  }
};

// The job has used up the attempts of a task.
struct JobFailedRecord {
  JobId job = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(job);
  }
};

using WorkRecord = std::variant<LeaderRecord,
                                YieldRecord,
                                HeartbeatRecord,
                                BindRecord,
                                EndRecord,
                                JobFailedRecord,
                                JobStartedRecord>;

std::string EncodeIntake(const IntakeRecord& record);
std::string EncodeWork(const WorkRecord& record);

// Errors: kInvalid.
base::Outcome<IntakeRecord> DecodeIntake(std::string_view bytes);
base::Outcome<WorkRecord> DecodeWork(std::string_view bytes);

}  // namespace azurespur::jobs

#endif  // JOBS_RECORDS_H_
