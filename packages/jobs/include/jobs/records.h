// Records of the two log streams that hold all jobs.
//
// Any VM appends to the intake stream; the first record of a job counts. Only
// the leader, fenced by its epoch, appends to the work stream. Every VM applies
// both streams to its job table.

#ifndef JOBS_RECORDS_H_
#define JOBS_RECORDS_H_

#include <cereal/types/variant.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "base/outcome.h"
#include "jobs/job_spec.h"
#include "jobs/queue_policy.h"
#include "jobs/task_ref.h"

namespace azurespur::jobs {

struct CancelRecord {
  JobId job = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(job);
  }
};

// A job and the terms of its queue when it was accepted.
struct Submission {
  JobSpec spec;
  QueueTerms terms;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(spec, terms);
  }
};

// A submission, and how much of the intake stream its receiver had read.
struct ReceivedSubmission {
  Submission submission;
  // The receiver had applied all records before this offset when the request
  // arrived.
  int64_t intake_next = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(submission, intake_next);
  }
};

// The client account of a submission. Stored after the record's own bytes,
// where releases that know no accounts ignore it.
struct AccountTerms {
  std::string account;
  double submissions_per_s = 0;  // 0: no limit.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(account, submissions_per_s);
  }
};

// Declares that the job doesn't exist, so that a caller may be told so.
// Submissions of the job that were received before this record was read, and
// whose appends are carried out after it, are void.
struct MissingJobRecord {
  JobId job = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(job);
  }
};

// A JobSpec or a Submission alone was stored by earlier releases.
using IntakeRecord = std::variant<JobSpec,
                                  CancelRecord,
                                  Submission,
                                  ReceivedSubmission,
                                  MissingJobRecord>;

// The job that the record is about.
JobId JobOf(const IntakeRecord& record);

// True if the record submits a job.
bool SubmitsJob(const IntakeRecord& record);

// A VM becomes the leader of the cell.
struct LeaderRecord {
  uint64_t epoch = 0;
  std::string vm;
  std::string address;  // "IP:PORT" for datagrams from peers.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(epoch, vm, address);
  }
};

// The leader resigns; any VM may take over at once.
struct YieldRecord {
  uint64_t epoch = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(epoch);
  }
};

// Sign of life of the leader. The records after it may refer to any job in the
// intake stream before `intake_end`, so a reader applies that part first.
struct HeartbeatRecord {
  uint64_t epoch = 0;
  int64_t intake_end = 0;
  // So many bindings of the term, from its first one on, have a start that was
  // answered or never sent, or an OpenStartRecord before this record. Stored
  // after the record's own bytes, where earlier releases ignore it.
  std::optional<uint64_t> settled_binds{};

  template <class Archive>
  void serialize(Archive& archive) {
    archive(epoch, intake_end);
  }
};

// Binds a task to a worker, where it may run from now on. Stored before the
// start is sent, so that a successor knows every worker that may run the task.
struct BindRecord {
  TaskRef task;
  int32_t run = 0;
  WorkerBoot worker;
  // Where the worker's boot has answered the leader; empty if an earlier record
  // told it. Stored after the record's own bytes, where earlier releases ignore
  // it.
  std::string address{};

  template <class Archive>
  void serialize(Archive& archive) {
    archive(task, run, worker);
  }
};

// The first task of the job has started.
struct JobStartedRecord {
  JobId job = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(job);
  }
};

enum class EndKind : uint8_t {
  kDone,
  kFailed,    // Counts against max_attempts.
  kReleased,  // Never ran, was stopped, or its worker was lost.
};

// The run is over and can't take effect any more.
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

// A task of the job has exhausted its attempts.
struct JobFailedRecord {
  JobId job = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(job);
  }
};

// A start of the task got no answer from the worker, which may carry it out
// late. A successor waits for the last moment at which that can be.
struct OpenStartRecord {
  TaskRef task;
  std::string worker;  // Id.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(task, worker);
  }
};

// Releases skip the kinds at the end that they don't know.
using WorkRecord = std::variant<LeaderRecord,
                                YieldRecord,
                                HeartbeatRecord,
                                BindRecord,
                                EndRecord,
                                JobFailedRecord,
                                JobStartedRecord,
                                OpenStartRecord>;

std::string EncodeIntake(const IntakeRecord& record);
std::string EncodeWork(const WorkRecord& record);

// Errors: kInvalid.
base::Outcome<IntakeRecord> DecodeIntake(std::string_view bytes);
base::Outcome<WorkRecord> DecodeWork(std::string_view bytes);

}  // namespace azurespur::jobs

#endif  // JOBS_RECORDS_H_
