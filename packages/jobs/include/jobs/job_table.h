// The replicated state of all jobs, built from the records of the two log
// streams.

#ifndef JOBS_JOB_TABLE_H_
#define JOBS_JOB_TABLE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "base/clock.h"
#include "base/outcome.h"
#include "jobs/job_spec.h"
#include "jobs/records.h"
#include "jobs/submission_rates.h"
#include "jobs/task_ref.h"

namespace azurespur::jobs {

enum class JobState { kQueued, kRunning, kCompleted, kFailed, kCancelled };

enum class TaskPhase { kWaiting, kBound, kDone };

struct TaskProgress {
  TaskPhase phase = TaskPhase::kWaiting;
  int32_t run = 0;  // Highest run number so far; 0 before the first run.
  int32_t failures = 0;
  WorkerBoot worker;       // While bound.
  std::string checkpoint;  // Empty: none.
};

// A start that may be carried out late.
struct TableOpenStart {
  std::string worker;      // Id.
  base::MonoTime since{};  // When this VM read of it.
};

// A worker to which tasks were bound.
struct TableWorker {
  WorkerBoot boot;
  std::string address;  // Where the boot has answered a leader.
  // When this VM read of the address, or last found a task there.
  base::MonoTime known_since{};
};

// A binding of the current term whose start may be under way.
struct UnsettledBind {
  TaskRef task;
  std::string worker;  // Id.
};

struct StepProgress {
  std::vector<TaskProgress> tasks;
  int32_t done = 0;
  int32_t bound = 0;
  int32_t failed_runs = 0;  // Failed runs of a gang as a whole.
  int32_t last_failed_run = 0;
  std::string gang_checkpoint;
};

struct Job {
  JobSpec spec;
  // Empty if an earlier release accepted the job.
  std::optional<QueueTerms> terms;
  std::vector<StepProgress> steps;
  JobState state = JobState::kQueued;
  // Submitted beyond the rate of its client account.
  bool beyond_rate = false;
  base::MonoTime accepted_at{};
  base::MonoTime state_since{};
};

bool IsFinal(JobState state);
std::string_view JobStateName(JobState state);

// Returns true if all steps that `step` depends on are done.
bool StepIsReady(const Job& job, size_t step);

class JobTable;

// A snapshot of `table` for DecodeJobTable(). Times are stored as ages, since
// `now` means something on this VM only.
std::string EncodeJobTable(const JobTable& table, base::MonoTime now);

// Errors: kInvalid.
base::Outcome<JobTable> DecodeJobTable(std::string_view bytes,
                                       base::MonoTime now);

class JobTable {
 public:
  // Return false if the job is already known.
  bool Submit(const Submission& submission, base::MonoTime now);
  bool Submit(const JobSpec& spec, base::MonoTime now);

  // Returns false if the job is unknown; if it is submitted later, it counts as
  // cancelled. `offset` is the offset of the cancel record in the intake
  // stream.
  bool Cancel(JobId id, int64_t offset, base::MonoTime now);

  // Declares an unknown job missing. `offset` is the offset of the record in
  // the intake stream.
  void DeclareMissing(JobId id, int64_t offset, base::MonoTime now);

  void Apply(const IntakeRecord& record, int64_t offset, base::MonoTime now);
  void Apply(const WorkRecord& record, base::MonoTime now);

  // Returns null if the job is unknown or only its final state is kept.
  const Job* Find(JobId id) const;

  // Returns nothing if the job is unknown.
  std::optional<JobState> StateOf(JobId id) const;

  // The client account of a known job; empty if it has none.
  std::string_view AccountOf(JobId id) const;

  // Returns true if a job that `account` submits at `unix_ms` would be beyond
  // its rate.
  bool WouldBeBeyondRate(std::string_view account,
                         double rate,
                         int64_t unix_ms) const {
    return m_rates.WouldExceed(account, rate, unix_ms);
  }

  // Counts the accepted jobs of `queue` of which no task has started.
  int64_t CountPending(std::string_view queue) const;

  // Starts that got no answer, or whose answer a former leader has not told of.
  const std::map<TaskRef, TableOpenStart>& open_starts() const {
    return m_open_starts;
  }

  // By id.
  const std::map<std::string, TableWorker, std::less<>>& workers() const {
    return m_workers;
  }
  // Empty if not known.
  std::string_view AddressOf(const WorkerBoot& boot) const;

  // Removes the states of jobs that have been final for longer than `keep`,
  // cancellations and declarations of unknown jobs of that age, starts that
  // can't be open any more, and workers without tasks.
  void RemoveExpired(base::MonoTime now, base::Millis keep);

  // Jobs that are not final, or still have bound tasks.
  const std::map<JobId, Job>& jobs() const { return m_jobs; }

  uint64_t epoch() const { return m_leader.epoch; }
  const LeaderRecord& leader() const { return m_leader; }
  bool leader_yielded() const { return m_yielded; }

 private:
  friend std::string EncodeJobTable(const JobTable& table, base::MonoTime now);
  friend base::Outcome<JobTable> DecodeJobTable(std::string_view bytes,
                                                base::MonoTime now);

  struct FinalState {
    JobState state;
    base::MonoTime since;
    std::string account;  // Empty: none.
  };

  // When and where in the intake stream a job was declared missing.
  struct Declaration {
    int64_t offset = 0;
    base::MonoTime since{};
  };

  // True if a submission is void: the job was declared missing, and the
  // receiver had read the stream up to `intake_next` only.
  bool IsVoid(JobId id, int64_t intake_next) const;

  void ApplyOne(const LeaderRecord& record, base::MonoTime now);
  void ApplyOne(const YieldRecord& record, base::MonoTime now);
  void ApplyOne(const HeartbeatRecord& record, base::MonoTime now);
  void ApplyOne(const BindRecord& record, base::MonoTime now);
  void ApplyOne(const EndRecord& record, base::MonoTime now);
  void ApplyOne(const JobFailedRecord& record, base::MonoTime now);
  void ApplyOne(const JobStartedRecord& record, base::MonoTime now);
  void ApplyOne(const OpenStartRecord& record, base::MonoTime now);
  void SetState(Job& job, JobState state, base::MonoTime now);
  // Removes the workers that have had no task for some time.
  void RemoveIdleWorkers(base::MonoTime now);
  // Reduces a final job to its state once no task of it is bound.
  void CompactIfFinished(JobId id);

  std::map<JobId, Job> m_jobs;
  std::unordered_map<JobId, FinalState> m_final;
  // Cancellations of jobs that are not in the stream before them. A submission
  // whose append was not answered may be stored after its cancellation.
  std::unordered_map<JobId, base::MonoTime> m_early_cancels;
  // The latest declaration of each job that is unknown since.
  std::unordered_map<JobId, Declaration> m_missing;
  // Cancelled jobs for which bindings may still be read: the work stream may
  // hold bindings that the leader recorded before it knew of the cancellation.
  std::map<JobId, int64_t> m_cancel_offsets;
  std::map<std::string, int64_t, std::less<>> m_pending;  // By queue.
  SubmissionRates m_rates;
  std::map<TaskRef, TableOpenStart> m_open_starts;
  std::map<std::string, TableWorker, std::less<>> m_workers;
  // Of the current term, by their numbers, which begin at 0.
  std::map<uint64_t, UnsettledBind> m_unsettled;
  uint64_t m_term_binds = 0;
  // The leader tells which bindings are settled; earlier releases don't.
  bool m_settles = false;
  LeaderRecord m_leader;
  bool m_yielded = false;
};

}  // namespace azurespur::jobs

#endif  // JOBS_JOB_TABLE_H_
