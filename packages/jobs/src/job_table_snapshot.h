// The stored form of a job table.

#ifndef JOBS_SRC_JOB_TABLE_SNAPSHOT_H_
#define JOBS_SRC_JOB_TABLE_SNAPSHOT_H_

#include <cstdint>
#include <string>
#include <vector>

#include "jobs/job_spec.h"
#include "jobs/records.h"
#include "jobs/submission_rates.h"
#include "jobs/task_ref.h"

namespace azurespur::jobs {

// A task that is bound or done, or has had a run. Other tasks are not stored.
struct TaskSnapshot {
  int32_t index = 0;
  uint8_t phase = 0;  // A TaskPhase.
  int32_t run = 0;
  int32_t failures = 0;
  int32_t worker = -1;  // Index in JobTableSnapshot::workers; -1: none.
  std::string checkpoint;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(index, phase, run, failures, worker, checkpoint);
  }
};

struct StepSnapshot {
  std::vector<TaskSnapshot> tasks;
  int32_t failed_runs = 0;
  int32_t last_failed_run = 0;
  std::string gang_checkpoint;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(tasks, failed_runs, last_failed_run, gang_checkpoint);
  }
};

struct JobSnapshot {
  JobSpec spec;
  std::vector<StepSnapshot> steps;
  uint8_t state = 0;  // A JobState.
  int64_t accepted_age_ms = 0;
  int64_t state_age_ms = 0;
  int64_t cancel_offset = -1;  // -1: none.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(spec, steps, state, accepted_age_ms, state_age_ms, cancel_offset);
  }
};

struct FinalJobSnapshot {
  JobId id = 0;
  uint8_t state = 0;  // A JobState.
  int64_t age_ms = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(id, state, age_ms);
  }
};

// The form that the first releases store.
struct JobTableSnapshotV1 {
  LeaderRecord leader;
  bool yielded = false;
  std::vector<WorkerBoot> workers;
  std::vector<JobSnapshot> jobs;
  std::vector<FinalJobSnapshot> final_jobs;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(leader, yielded, workers, jobs, final_jobs);
  }
};

// Stand where the first form has the leader's epoch, and are none.
inline constexpr uint64_t kSnapshotFormatV2 = UINT64_MAX;
inline constexpr uint64_t kSnapshotFormat = UINT64_MAX - 1;

struct EarlyCancelSnapshot {
  JobId id = 0;
  int64_t age_ms = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(id, age_ms);
  }
};

struct MissingJobSnapshot {
  JobId id = 0;
  int64_t offset = 0;  // Of the declaration in the intake stream.
  int64_t age_ms = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(id, offset, age_ms);
  }
};

// The form of the release before this one.
struct JobTableSnapshotV2 : JobTableSnapshotV1 {
  uint64_t format = kSnapshotFormatV2;
  std::vector<QueueTerms> terms;   // Each once.
  std::vector<int32_t> job_terms;  // Index in `terms` of each job; -1: none.
  std::vector<EarlyCancelSnapshot> early_cancels;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(format);
    JobTableSnapshotV1::serialize(archive);
    archive(terms, job_terms, early_cancels);
  }
};

struct JobTableSnapshot : JobTableSnapshotV2 {
  JobTableSnapshot() { format = kSnapshotFormat; }

  std::vector<MissingJobSnapshot> missing_jobs;

  template <class Archive>
  void serialize(Archive& archive) {
    JobTableSnapshotV2::serialize(archive);
    archive(missing_jobs);
  }
};

// Client accounts, stored after the snapshot's own bytes, where releases that
// know no accounts ignore them. Not stored if there are none.
struct AccountsSnapshot {
  std::vector<std::string> accounts;  // Each once.
  // Index in `accounts`, -1: none, of each job and each final job.
  std::vector<int32_t> job_accounts;
  std::vector<int32_t> final_accounts;
  std::vector<uint8_t> beyond_rate;  // Of each job; 0 or 1.
  SubmissionRates::Buckets rates;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(accounts, job_accounts, final_accounts, beyond_rate, rates);
  }
};

struct OpenStartSnapshot {
  TaskRef task;
  std::string worker;
  int64_t age_ms = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(task, worker, age_ms);
  }
};

struct UnsettledBindSnapshot {
  uint64_t number = 0;
  TaskRef task;
  std::string worker;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(number, task, worker);
  }
};

// Entries of JobTableSnapshot::terms that no job has say how many parts follow
// the accounts, so that a snapshot without its end is an error. Earlier
// releases ignore the parts that they don't know.
enum class TrailingPart : int32_t { kStarts = 1, kWorkers = 2 };

// Starts that may be under way. Not stored if there is nothing to say.
struct StartsSnapshot {
  std::vector<OpenStartSnapshot> open;
  std::vector<UnsettledBindSnapshot> unsettled;
  uint64_t term_binds = 0;
  bool settles = false;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(open, unsettled, term_binds, settles);
  }
};

// A worker to which tasks were bound. All of them are stored with the starts.
struct WorkerSnapshot {
  WorkerBoot boot;
  std::string address;
  int64_t age_ms = 0;  // Since TableWorker::known_since.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(boot, address, age_ms);
  }
};

}  // namespace azurespur::jobs

#endif  // JOBS_SRC_JOB_TABLE_SNAPSHOT_H_
